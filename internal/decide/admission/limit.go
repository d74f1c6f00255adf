package admission

import (
	"math"
	"time"
)

// Sample is what one finished request tells about its backend server.
type Sample struct {
	// Took is the time in the backend server, without its own calls down the chain.
	Took time.Duration
	// Overloaded says that the backend server shed the request or let it time out.
	Overloaded bool
	// InFlight is set by the gate: the requests in flight when this one finished.
	InFlight int
}

// LimitConfig sets a Limit up.
type LimitConfig struct {
	Initial int
	Min     int
	Max     int
	// Tolerance is how far latency may rise over the lowest seen before the limit shrinks.
	Tolerance float64
	// Backoff is the factor applied when the backend server is overloaded.
	Backoff float64
	// Window is how long samples are gathered before the limit moves.
	Window time.Duration
	// BaselineWindow is how long the lowest latency seen is believed.
	BaselineWindow time.Duration
}

// Limit is an adaptive bound of requests in flight: it grows while it is used and latency stays near the lowest
// seen, and shrinks when latency rises or the backend server sheds.
type Limit struct {
	config    LimitConfig
	value     float64
	announced int

	windowEnd      time.Time
	windowCount    int
	windowTotal    time.Duration
	windowOverload int
	windowPeak     int

	baseline     time.Duration
	baselineNext time.Duration
	baselineEnd  time.Time
	mean         time.Duration
}

// NewLimit returns a limit at its initial value.
func NewLimit(config LimitConfig) *Limit {
	return &Limit{config: config, value: float64(config.Initial)}
}

// Value returns the limit in force, at least 1.
func (l *Limit) Value() int {
	return max(int(l.value), 1)
}

// ServiceTime returns the recent mean time of a request.
func (l *Limit) ServiceTime() time.Duration {
	return l.mean
}

// Announce sets the slots that the backend server claims. The limit starts there and stays below.
func (l *Limit) Announce(slots int) {
	if slots == l.announced || slots <= 0 {
		return
	}
	l.announced = slots
	l.value = float64(min(slots, l.config.Max))
}

// Observe learns from one sample.
func (l *Limit) Observe(now time.Time, s Sample) {
	if l.windowEnd.IsZero() {
		l.windowEnd = now.Add(l.config.Window)
		l.baselineEnd = now.Add(l.config.BaselineWindow)
	}
	l.windowPeak = max(l.windowPeak, s.InFlight)
	l.windowCount++
	if s.Overloaded {
		l.windowOverload++
	} else {
		l.windowTotal += s.Took
	}
	if now.Before(l.windowEnd) {
		return
	}
	l.closeWindow(now)
}

func (l *Limit) closeWindow(now time.Time) {
	succeeded := l.windowCount - l.windowOverload
	if succeeded > 0 {
		l.mean = l.windowTotal / time.Duration(succeeded)
		l.learnBaseline(now)
	}
	l.move()
	l.windowEnd = now.Add(l.config.Window)
	l.windowCount, l.windowOverload, l.windowPeak, l.windowTotal = 0, 0, 0, 0
}

func (l *Limit) learnBaseline(now time.Time) {
	if l.baseline == 0 || l.mean < l.baseline {
		l.baseline = l.mean
	}
	if l.baselineNext == 0 || l.mean < l.baselineNext {
		l.baselineNext = l.mean
	}
	if now.After(l.baselineEnd) {
		l.baseline, l.baselineNext = l.baselineNext, 0
		l.baselineEnd = now.Add(l.config.BaselineWindow)
	}
}

func (l *Limit) move() {
	switch {
	case l.windowOverload > 0:
		l.value *= l.config.Backoff
	case l.baseline > 0 && float64(l.mean) > float64(l.baseline)*l.config.Tolerance:
		gradient := float64(l.baseline) * l.config.Tolerance / float64(l.mean)
		l.value *= math.Max(gradient, l.config.Backoff)
	case float64(l.windowPeak) >= l.value*usedShare:
		l.value += math.Sqrt(l.value)
	}
	l.value = math.Max(float64(l.config.Min), math.Min(l.value, float64(l.upper())))
}

// usedShare of the limit must have been in use for it to grow.
const usedShare = 0.8

func (l *Limit) upper() int {
	if l.announced > 0 {
		return min(l.announced, l.config.Max)
	}
	return l.config.Max
}
