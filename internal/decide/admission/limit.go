package admission

import (
	"math"
	"time"
)

// LimitConfig sets a Limit up.
type LimitConfig struct {
	// Fixed keeps the limit at those of the announced slots that are worth using, where the announcement is known to be true. A
	// backend server that sheds below its slots then fails a part of its requests; fewer in flight would not cure that.
	Fixed bool
	// Initial is where the limit starts, below what is announced.
	Initial int
	Min     int
	Max     int
	// Tolerance is how many times its baseline latency may be before the limit shrinks.
	Tolerance float64
	// LatencySlack is added to each baseline, so that noise of quick requests counts little.
	LatencySlack time.Duration
	// DecreaseFactor is the factor by which the limit shrinks at most in one window in which the backend server shed.
	DecreaseFactor float64
	// TrialDecreaseFactor is the factor by which the limit shrinks in a trial whether it is too high.
	TrialDecreaseFactor float64
	// GrowthRatio is the part of the limit added after the first clean window; each further clean window adds one more part.
	GrowthRatio float64
	// Window is the least time for which samples are gathered before the limit moves.
	Window time.Duration
	// MaxWindow is the most time.
	MaxWindow time.Duration
	// KindRetention is how long the baseline of a kind that is no longer seen is kept.
	KindRetention time.Duration
	// TrialDelay is how long latency is high before a trial of a lower limit. Each trial in succession that showed the
	// limit right doubles it, up to MaxRetrialTime.
	TrialDelay    time.Duration
	MaxTrialDelay time.Duration
}

// Limit is an adaptive bound of requests in flight. It starts low, grows ever faster while it is used and all goes
// well, and shrinks when the backend server sheds or its latency rises.
//
// High latency alone does not tell too much concurrency from slow work: shrinking cures the first and makes the second
// worse. So the limit remembers how many requests in flight the backend server was seen to run well. Above that, high
// latency shrinks the limit at once, and the limit grows only on trial: it stays higher only where more requests then
// end. Below, high latency is taken for slow work, and the limit shrinks only on trial, after a time: it stays lower
// only where no fewer requests end. A limit above the announced slots is reached only on trial as well.
type Limit struct {
	config  LimitConfig
	latency *latencyTracker
	// slotOptimizer decides where the limit is fixed.
	slotOptimizer *slotOptimizer
	value         float64
	// ceiling is the highest value; it follows the announced slots and what trials above them showed.
	ceiling     float64
	announced   int
	connections int

	window window
	trial  trial
	// cleanWindows counts the windows without trouble since the last one with it.
	cleanWindows int
	// provenInFlight is how many requests in flight the backend server was seen to run well.
	provenInFlight float64
	// slowSince is when latency became high; zero while it isn't. The next trial of a lower limit begins retrialTime
	// after it.
	slowSince  time.Time
	trialDelay time.Duration
	// shedInFlight is where the backend server last shed; until shedUntil the limit does not grow back to it.
	shedInFlight      float64
	shedInFlightUntil time.Time
	// aboveCeiling and below hold back trials of a limit above the ceiling, and of a higher one below it.
	aboveCeiling raiseDelay
	belowCeiling raiseDelay
	holdTime     time.Duration
	// change is the last one of the value, reason why it moved last, and cold that nothing has gone wrong yet.
	change LimitChange
	reason LimitReason
	cold   bool
}

// window is what was seen since the limit last moved.
type window struct {
	start time.Time
	// value is the limit at the start.
	value float64
	ended int
	shed  int
	peak  int
	// blocked counts requests that would have run at once had the limit been higher.
	blocked       int
	totalHoldTime time.Duration
}

// windowSummary is what a window showed.
type windowSummary struct {
	window
	// used says that most of the limit was in flight, or that requests had to wait.
	used bool
	// saturated says that about every second request had to wait, so that throughput shows what the limit allows.
	saturated bool
	// latencyRatio is the mean of the latencies over their baselines; 0 where there was none.
	latencyRatio float64
	// throughput is how many requests ended in a second.
	throughput float64
}

const (
	// usedRatio of the limit must be in flight for the limit to count as used.
	usedRatio = 0.8
	// healthyLatencyRatio is the most that latency is over its baselines where all goes well.
	healthyLatencyRatio = 1.25
	// provenMargin is how far the limit may be above what was seen to run well before high latency shrinks it at once.
	provenMargin = 1.25
	// initialCleanWindows is how many clean windows a new limit counts as past, so that it doubles from the start.
	initialCleanWindows = 9
	// shedInFlightTimeout is how long the limit stays below a value at which the backend server shed.
	shedInFlightTimeout = time.Second
)

// NewLimit returns a limit at its initial value.
func NewLimit(config LimitConfig) *Limit {
	l := &Limit{
		config:        config,
		latency:       newLatencyTracker(config.KindRetention, config.LatencySlack),
		slotOptimizer: newSlotOptimizer(),
		value:         float64(config.Initial),
		ceiling:       float64(config.Max),
		cleanWindows:  initialCleanWindows,
		trialDelay:    config.TrialDelay,
		aboveCeiling:  raiseDelay{delay: minRaiseDelay},
		belowCeiling:  raiseDelay{delay: minRaiseDelay},
		cold:          true,
	}
	l.change = LimitChange{From: l.Value(), To: l.Value(), Reason: LimitInitial}
	return l
}

// Value returns the limit in force, at least 1.
func (l *Limit) Value() int {
	if l.isFixed() {
		return int(math.Min(float64(l.slotOptimizer.value()), l.hardLimit()))
	}
	return max(int(l.value), 1)
}

// HoldTime returns the recent mean time for which a request holds its slot; 0 before the first.
func (l *Limit) HoldTime() time.Duration {
	return l.holdTime
}

// MinHoldTime returns the least time that a request of the kind lately held its slot; 0 where that isn't known.
func (l *Limit) MinHoldTime(now time.Time, kind string) time.Duration {
	return l.latency.minHoldTime(now, kind)
}

// Announce sets the slots and connections that the backend server claims. The slots are a hint for the ceiling, the
// connections a bound.
func (l *Limit) Announce(slots, connections int) {
	l.connections = connections
	if slots != l.announced && slots > 0 {
		l.announced = slots
		l.slotOptimizer.announce(slots)
		l.ceiling = float64(slots)
		l.trial = trial{}
		l.aboveCeiling = raiseDelay{delay: minRaiseDelay}
	}
	l.reason = LimitAnnounced
	l.clamp()
}

// Begin notes that a request took a slot, and returns the limit where that was the last one, else 0.
func (l *Limit) Begin(now time.Time, inFlight int) int {
	value := l.Value()
	if l.isFixed() {
		l.slotOptimizer.begin(now, inFlight)
	}
	if inFlight < value {
		return 0
	}
	return value
}

// NoteBlocked notes that a request would have run at once had the limit been higher.
func (l *Limit) NoteBlocked() {
	l.window.blocked++
}

// Observe learns from one sample.
func (l *Limit) Observe(now time.Time, s Sample) {
	defer l.recordChange(now)
	w := &l.window
	if now.Sub(w.start) > 2*l.maxWindow() {
		*w = window{start: now, value: l.value, blocked: w.blocked}
	}
	w.peak = max(w.peak, s.inFlight)
	switch {
	case s.Overloaded:
		w.shed++
		l.backOff(now, s)
	default:
		w.ended++
		w.totalHoldTime += s.HoldTime
	}
	if !s.Overloaded && !s.Failed {
		l.latency.observe(now, s)
	}
	if l.isFixed() && s.isSuccess() {
		l.slotOptimizer.end(now, s.Kind, s.SaturatedLimit, s.ServiceTime)
	}
	if l.windowOver(now) {
		l.closeWindow(now)
	}
}

// windowOver reports whether the window is long enough to hold about one request for each slot, or more in a trial.
func (l *Limit) windowOver(now time.Time) bool {
	length := now.Sub(l.window.start)
	least, requests := l.config.Window, l.Value()
	if l.trial.raised {
		least *= raiseWindowFactor
	}
	if l.trial.measuresThroughput() {
		requests = max(trialRequestsPerSlot*requests, minTrialRequests)
	}
	if length < least {
		return false
	}
	return l.window.ended+l.window.shed >= requests || length >= l.maxWindow()
}

func (l *Limit) maxWindow() time.Duration {
	if l.trial.measuresThroughput() {
		return 2 * l.config.MaxWindow
	}
	return l.config.MaxWindow
}

func (l *Limit) closeWindow(now time.Time) {
	w := l.window
	if w.ended > 0 {
		l.holdTime = w.totalHoldTime / time.Duration(w.ended)
	}
	s := windowSummary{
		window:       w,
		used:         w.blocked > 0 || float64(w.peak) >= l.value*usedRatio,
		saturated:    2*w.blocked >= w.ended,
		latencyRatio: l.latency.closeWindow(now),
		throughput:   float64(w.ended) / now.Sub(w.start).Seconds(),
	}
	l.updateProven(now, s)
	l.adjust(now, s)
	l.clamp()
	l.window = window{start: now, value: l.value}
}

// updateProven notes how many requests in flight went well, and since when latency is high.
func (l *Limit) updateProven(now time.Time, s windowSummary) {
	if s.latencyRatio > 0 && s.latencyRatio <= healthyLatencyRatio {
		l.provenInFlight = math.Max(l.provenInFlight, math.Min(float64(s.peak), l.value))
	}
	if !l.isSlow(s) {
		l.slowSince = time.Time{}
		l.trialDelay = l.config.TrialDelay
		return
	}
	if l.slowSince.IsZero() {
		l.slowSince = now
	}
}

func (l *Limit) adjust(now time.Time, s windowSummary) {
	switch {
	case s.shed > 0:
		l.cleanWindows = 0
	case l.mayGrow(s) && l.value < l.ceiling:
		l.trial = trial{}
		l.grow(now)
	case l.trial.state != noTrial:
		l.advanceTrial(now, s)
	case l.isSlow(s) && l.value > l.provenInFlight*provenMargin:
		l.cleanWindows = 0
		l.cold = false
		l.reason = LimitHighLatency
		l.value = math.Max(l.provenInFlight*provenMargin, l.value*l.config.DecreaseFactor)
	case l.isSlow(s) && now.Sub(l.slowSince) >= l.trialDelay:
		l.cleanWindows = 0
		l.cold = false
		l.trial = trial{state: measuringBefore}
	case s.used:
		l.planRaise(now, s)
	}
}

// mayGrow reports whether the limit is used and the latency low enough for the limit to grow without a trial.
func (l *Limit) mayGrow(s windowSummary) bool {
	return s.used && s.latencyRatio < (1+l.config.Tolerance)/2
}

// isSlow reports whether the limit is used and the latency too high.
func (l *Limit) isSlow(s windowSummary) bool {
	return s.used && s.latencyRatio > l.config.Tolerance
}

// backOff goes below the requests with which the backend server shed one, at once but not far in one window, because
// a single answer may have other causes.
func (l *Limit) backOff(now time.Time, s Sample) {
	if l.trial.raised && l.trial.state > measuringBefore {
		l.revertRaise(now, l.trial)
	}
	l.trial = trial{}
	l.cleanWindows = 0
	l.cold = false
	l.reason = LimitOverloaded
	l.shedInFlight, l.shedInFlightUntil = float64(s.inFlight), now.Add(shedInFlightTimeout)
	l.value = math.Max(math.Min(l.value, l.shedInFlight-1), l.window.value*l.config.DecreaseFactor)
	l.provenInFlight = math.Min(l.provenInFlight, l.value)
	l.clamp()
}

func (l *Limit) grow(now time.Time) {
	l.cleanWindows++
	l.reason = l.growthReason()
	before := l.value
	ratio := math.Min(l.config.GrowthRatio*float64(l.cleanWindows), 1)
	l.value += math.Max(l.value*ratio, 1)
	if now.Before(l.shedInFlightUntil) {
		l.value = math.Min(l.value, math.Max(l.shedInFlight-1, before))
	}
}

func (l *Limit) clamp() {
	l.value = math.Min(l.value, math.Min(l.ceiling, l.hardLimit()))
	l.value = math.Max(l.value, float64(l.config.Min))
}

// isFixed reports whether the limit stays at the announced slots.
func (l *Limit) isFixed() bool {
	return l.config.Fixed && l.announced > 0
}

// hardLimit returns the bound that holds whatever the backend server is seen to do.
func (l *Limit) hardLimit() float64 {
	if l.connections > 0 {
		return float64(min(l.connections, l.config.Max))
	}
	return float64(l.config.Max)
}
