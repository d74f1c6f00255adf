package admission

import (
	"math"
	"time"
)

// LimitConfig sets a Limit up.
type LimitConfig struct {
	// Initial is where the limit starts, below what is announced.
	Initial int
	Min     int
	Max     int
	// Tolerance is how many times its baseline latency may be before the limit shrinks.
	Tolerance float64
	// LatencySlack is added to each baseline, so that noise of quick requests counts little.
	LatencySlack time.Duration
	// Backoff is the factor by which the limit shrinks at most in one window.
	Backoff float64
	// Growth is the part of the limit added after the first clean window; each further clean window adds one more part.
	Growth float64
	// Window is the least time for which samples are gathered before the limit moves.
	Window time.Duration
	// MaxWindow is the most time.
	MaxWindow time.Duration
	// KindMemory is how long the baseline of a kind that is no longer seen is kept.
	KindMemory time.Duration
	// RetrialTime is how long a latency that shrinking did not lower is first taken as normal. Each further time in
	// succession doubles it, up to MaxRetrialTime.
	RetrialTime    time.Duration
	MaxRetrialTime time.Duration
}

// Limit is an adaptive bound of requests in flight. It starts low, grows ever faster while it is used and all goes
// well, and shrinks when the backend server sheds or its latency rises.
//
// High latency alone does not tell too much concurrency from slow work: shrinking cures the first and makes the second
// worse. So a limit that shrank for latency is on trial. Where fewer requests then end in the same time, the old value
// comes back and the latency is taken as normal until the next trial. In the same way the limit goes above the
// announced slots only on trial, and stays there only where more requests end.
type Limit struct {
	config  LimitConfig
	latency *latencies
	value   float64
	// ceiling is the highest value; it follows the announced slots and what trials above them showed.
	ceiling     float64
	announced   int
	connections int

	window window
	trial  trial
	// clean counts the windows without trouble since the last one with it.
	clean int
	// normal is the latency, in baselines, that shrinking did not lower; 1 where there is none.
	normal      float64
	normalUntil time.Time
	retrialTime time.Duration
	// shedValue is where the backend server last shed; until shedUntil the limit does not grow back to it.
	shedValue float64
	shedUntil time.Time
	// raiseAfter is when the next trial above the ceiling may begin, raiseWait how long the wait before it is.
	raiseAfter time.Time
	raiseWait  time.Duration
	held       time.Duration
}

// window is what was seen since the limit last moved.
type window struct {
	start time.Time
	// value is the limit at the start.
	value     float64
	ended     int
	shed      int
	peak      int
	wanted    bool
	heldTotal time.Duration
}

// trial is a change of the limit that throughput has to bear out.
type trial struct {
	on bool
	// settling says that requests of the time before the change still end.
	settling bool
	raised   bool
	// before, rate and excess are the limit, the requests ended in a second and the latency before the change.
	before float64
	rate   float64
	excess float64
}

const (
	// usedShare of the limit must be in flight for the limit to count as used.
	usedShare = 0.8
	// firstRaiseWait and maxRaiseWait bound the time between trials above the ceiling.
	firstRaiseWait = time.Second
	maxRaiseWait   = time.Minute
	// raiseFactor is how far a trial goes above the ceiling.
	raiseFactor = 1.25
	// raiseLatency is how far latency may rise in a trial above the ceiling.
	raiseLatency = 1.1
	// raiseWindows is how many times longer than others the windows before and in a trial above the ceiling are.
	raiseWindows = 5
	// shedValueMemory is how long the limit stays below a value at which the backend server shed.
	shedValueMemory = time.Second
)

// NewLimit returns a limit at its initial value.
func NewLimit(config LimitConfig) *Limit {
	return &Limit{
		config:      config,
		latency:     newLatencies(config.KindMemory, config.LatencySlack),
		value:       float64(config.Initial),
		ceiling:     float64(config.Max),
		normal:      1,
		retrialTime: config.RetrialTime,
		raiseWait:   firstRaiseWait,
	}
}

// Value returns the limit in force, at least 1.
func (l *Limit) Value() int {
	return max(int(l.value), 1)
}

// HoldTime returns the recent mean time for which a request holds its slot; 0 before the first.
func (l *Limit) HoldTime() time.Duration {
	return l.held
}

// LeastTime returns the least time that a request of the kind takes in the backend server; 0 where that isn't known.
func (l *Limit) LeastTime(now time.Time, kind string) time.Duration {
	return l.latency.least(now, kind)
}

// Announce sets the slots and connections that the backend server claims. The slots are a hint for the ceiling, the
// connections a bound.
func (l *Limit) Announce(slots, connections int) {
	l.connections = connections
	if slots != l.announced && slots > 0 {
		l.announced = slots
		l.ceiling = float64(slots)
		l.trial.on = false
		l.raiseWait = firstRaiseWait
	}
	l.clamp()
}

// Want notes that a request would have run at once had the limit been higher.
func (l *Limit) Want() {
	l.window.wanted = true
}

// Observe learns from one sample.
func (l *Limit) Observe(now time.Time, s Sample) {
	w := &l.window
	if now.Sub(w.start) > 2*l.config.MaxWindow {
		*w = window{start: now, value: l.value, wanted: w.wanted}
	}
	w.peak = max(w.peak, s.inFlight)
	switch {
	case s.Overloaded:
		w.shed++
		l.backOff(now, s)
	default:
		w.ended++
		w.heldTotal += s.Held
	}
	if !s.Overloaded && !s.Failed {
		l.latency.observe(now, s)
	}
	if l.windowOver(now) {
		l.closeWindow(now)
	}
}

// windowOver reports whether the window is long enough to hold about one request for each slot.
func (l *Limit) windowOver(now time.Time) bool {
	length := now.Sub(l.window.start)
	least := l.config.Window
	if l.value >= l.ceiling && l.mayRaise(now) || l.trial.on && l.trial.raised {
		least *= raiseWindows
	}
	if length < least {
		return false
	}
	return l.window.ended+l.window.shed >= l.Value() || length >= l.config.MaxWindow
}

// mayRaise reports whether it is time for a trial above the ceiling.
func (l *Limit) mayRaise(now time.Time) bool {
	return l.announced > 0 && l.ceiling < l.highest() && !now.Before(l.raiseAfter)
}

func (l *Limit) closeWindow(now time.Time) {
	w := l.window
	if w.ended > 0 {
		l.held = w.heldTotal / time.Duration(w.ended)
	}
	excess := l.latency.closeWindow(now)
	l.learnNormal(now, excess)
	rate := float64(w.ended) / now.Sub(w.start).Seconds()
	l.move(now, w, excess, rate)
	l.clamp()
	l.window = window{start: now, value: l.value}
}

// learnNormal forgets a normal latency that is over.
func (l *Limit) learnNormal(now time.Time, excess float64) {
	if !now.Before(l.normalUntil) {
		l.normal = 1
	}
	if excess == 0 {
		return
	}
	l.normal = math.Max(math.Min(l.normal, excess), 1)
	if excess <= l.config.Tolerance {
		l.retrialTime = l.config.RetrialTime
	}
}

func (l *Limit) move(now time.Time, w window, excess, rate float64) {
	used := w.wanted || float64(w.peak) >= l.value*usedShare
	switch {
	case w.shed > 0:
		l.clean = 0
	case l.trial.on && l.trial.settling:
		l.trial.settling = false
	case l.trial.on:
		l.judge(now, used, excess, rate)
	case used && excess > l.config.Tolerance*l.normal:
		l.shrink(excess, rate)
	case used && excess < (1+l.config.Tolerance)/2*l.normal:
		l.grow(now, excess, rate)
	}
}

// backOff goes below the requests with which the backend server shed one, at once but not far in one window, because
// a single answer may have other causes.
func (l *Limit) backOff(now time.Time, s Sample) {
	if l.trial.on && l.trial.raised {
		l.endRaise(now)
	}
	l.trial.on = false
	l.clean = 0
	l.shedValue, l.shedUntil = float64(s.inFlight), now.Add(shedValueMemory)
	l.value = math.Max(math.Min(l.value, l.shedValue-1), l.window.value*l.config.Backoff)
	l.clamp()
}

// shrink begins a trial of a lower limit.
func (l *Limit) shrink(excess, rate float64) {
	l.clean = 0
	l.trial = trial{on: true, settling: true, before: l.value, rate: rate}
	l.value *= math.Max(l.config.Tolerance*l.normal/excess, l.config.Backoff)
}

func (l *Limit) grow(now time.Time, excess, rate float64) {
	l.clean++
	if l.value < l.ceiling {
		before := l.value
		part := math.Min(l.config.Growth*float64(l.clean), 1)
		l.value += math.Max(l.value*part, 1)
		if now.Before(l.shedUntil) {
			l.value = math.Min(l.value, math.Max(l.shedValue-1, before))
		}
		return
	}
	if l.mayRaise(now) {
		l.trial = trial{on: true, settling: true, raised: true, before: l.value, rate: rate, excess: excess}
		l.ceiling = math.Min(math.Max(l.ceiling*raiseFactor, l.ceiling+1), l.highest())
		l.value = l.ceiling
	}
}

// judge ends a trial: half of the change of the limit must show in the throughput.
func (l *Limit) judge(now time.Time, used bool, excess, rate float64) {
	t := l.trial
	l.trial.on = false
	expected := t.rate * (1 + l.value/t.before) / 2
	switch {
	case t.raised && (!used || rate < expected || excess > raiseLatency*t.excess):
		l.endRaise(now)
	case t.raised:
		l.raiseWait = firstRaiseWait
	case used && rate < expected:
		l.value = t.before
		l.normal = math.Max(excess, 1)
		l.normalUntil = now.Add(l.retrialTime)
		l.retrialTime = min(2*l.retrialTime, l.config.MaxRetrialTime)
	case used && excess > l.config.Tolerance*l.normal:
		l.shrink(excess, rate)
	}
}

// endRaise goes back below the ceiling that did not help.
func (l *Limit) endRaise(now time.Time) {
	l.ceiling = l.trial.before
	l.value = l.trial.before
	l.raiseAfter = now.Add(l.raiseWait)
	l.raiseWait = min(2*l.raiseWait, maxRaiseWait)
}

func (l *Limit) clamp() {
	l.value = math.Min(l.value, math.Min(l.ceiling, l.highest()))
	l.value = math.Max(l.value, float64(l.config.Min))
}

// highest returns the bound that holds whatever the backend server is seen to do.
func (l *Limit) highest() float64 {
	if l.connections > 0 {
		return float64(min(l.connections, l.config.Max))
	}
	return float64(l.config.Max)
}
