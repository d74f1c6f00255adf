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
	// Backoff is the factor by which the limit shrinks at most in one window in which the backend server shed.
	Backoff float64
	// TrialBackoff is the factor by which the limit shrinks in a trial whether it is too high.
	TrialBackoff float64
	// Growth is the part of the limit added after the first clean window; each further clean window adds one more part.
	Growth float64
	// Window is the least time for which samples are gathered before the limit moves.
	Window time.Duration
	// MaxWindow is the most time.
	MaxWindow time.Duration
	// KindMemory is how long the baseline of a kind that is no longer seen is kept.
	KindMemory time.Duration
	// RetrialTime is how long latency is high before a trial of a lower limit. Each trial in succession that showed the
	// limit right doubles it, up to MaxRetrialTime.
	RetrialTime    time.Duration
	MaxRetrialTime time.Duration
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
	latency *latencies
	// fullness decides where the limit is fixed.
	fullness *fullness
	value    float64
	// ceiling is the highest value; it follows the announced slots and what trials above them showed.
	ceiling     float64
	announced   int
	connections int

	window window
	trial  trial
	// clean counts the windows without trouble since the last one with it.
	clean int
	// proven is how many requests in flight the backend server was seen to run well.
	proven float64
	// slowSince is when latency became high; zero while it isn't. The next trial of a lower limit begins retrialTime
	// after it.
	slowSince   time.Time
	retrialTime time.Duration
	// shedValue is where the backend server last shed; until shedUntil the limit does not grow back to it.
	shedValue float64
	shedUntil time.Time
	// above and below hold back trials of a limit above the ceiling, and of a higher one below it.
	above hold
	below hold
	held  time.Duration
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
	// wanted counts requests that would have run at once had the limit been higher.
	wanted    int
	heldTotal time.Duration
}

// seen is what a window showed.
type seen struct {
	window
	// used says that most of the limit was in flight, or that requests had to wait.
	used bool
	// saturated says that about every second request had to wait, so that throughput shows what the limit allows.
	saturated bool
	// excess is the mean of the latencies over their baselines; 0 where there was none.
	excess float64
	// rate is how many requests ended in a second.
	rate float64
}

const (
	// usedShare of the limit must be in flight for the limit to count as used.
	usedShare = 0.8
	// healthyExcess is the most that latency is over its baselines where all goes well.
	healthyExcess = 1.25
	// provenMargin is how far the limit may be above what was seen to run well before high latency shrinks it at once.
	provenMargin = 1.25
	// coldClean is how many clean windows a new limit counts as past, so that it doubles from the start.
	coldClean = 9
	// shedValueMemory is how long the limit stays below a value at which the backend server shed.
	shedValueMemory = time.Second
)

// NewLimit returns a limit at its initial value.
func NewLimit(config LimitConfig) *Limit {
	l := &Limit{
		config:      config,
		latency:     newLatencies(config.KindMemory, config.LatencySlack),
		fullness:    newFullness(),
		value:       float64(config.Initial),
		ceiling:     float64(config.Max),
		clean:       coldClean,
		retrialTime: config.RetrialTime,
		above:       hold{wait: firstRaiseWait},
		below:       hold{wait: firstRaiseWait},
		cold:        true,
	}
	l.change = LimitChange{From: l.Value(), To: l.Value(), Reason: LimitInitial}
	return l
}

// Value returns the limit in force, at least 1.
func (l *Limit) Value() int {
	if l.isFixed() {
		return int(math.Min(float64(l.fullness.value()), l.highest()))
	}
	return max(int(l.value), 1)
}

// HoldTime returns the recent mean time for which a request holds its slot; 0 before the first.
func (l *Limit) HoldTime() time.Duration {
	return l.held
}

// LeastTime returns the least time that a request of the kind lately held its slot; 0 where that isn't known.
func (l *Limit) LeastTime(now time.Time, kind string) time.Duration {
	return l.latency.least(now, kind)
}

// Announce sets the slots and connections that the backend server claims. The slots are a hint for the ceiling, the
// connections a bound.
func (l *Limit) Announce(slots, connections int) {
	l.connections = connections
	if slots != l.announced && slots > 0 {
		l.announced = slots
		l.fullness.announce(slots)
		l.ceiling = float64(slots)
		l.trial = trial{}
		l.above = hold{wait: firstRaiseWait}
	}
	l.reason = LimitAnnounced
	l.clamp()
}

// Begin notes that a request took a slot, and returns the limit where that was the last one, else 0.
func (l *Limit) Begin(now time.Time, inFlight int) int {
	value := l.Value()
	if l.isFixed() {
		l.fullness.begin(now, inFlight)
	}
	if inFlight < value {
		return 0
	}
	return value
}

// Want notes that a request would have run at once had the limit been higher.
func (l *Limit) Want() {
	l.window.wanted++
}

// Observe learns from one sample.
func (l *Limit) Observe(now time.Time, s Sample) {
	defer l.noteChange(now)
	w := &l.window
	if now.Sub(w.start) > 2*l.longestWindow() {
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
	if l.isFixed() && s.isWhole() {
		l.fullness.end(now, s.Kind, s.FullAt, s.Took)
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
		least *= raiseWindows
	}
	if l.trial.compares() {
		requests = max(trialRequestsPerSlot*requests, leastTrialRequests)
	}
	if length < least {
		return false
	}
	return l.window.ended+l.window.shed >= requests || length >= l.longestWindow()
}

func (l *Limit) longestWindow() time.Duration {
	if l.trial.compares() {
		return 2 * l.config.MaxWindow
	}
	return l.config.MaxWindow
}

func (l *Limit) closeWindow(now time.Time) {
	w := l.window
	if w.ended > 0 {
		l.held = w.heldTotal / time.Duration(w.ended)
	}
	s := seen{
		window:    w,
		used:      w.wanted > 0 || float64(w.peak) >= l.value*usedShare,
		saturated: 2*w.wanted >= w.ended,
		excess:    l.latency.closeWindow(now),
		rate:      float64(w.ended) / now.Sub(w.start).Seconds(),
	}
	l.learn(now, s)
	l.move(now, s)
	l.clamp()
	l.window = window{start: now, value: l.value}
}

// learn notes how many requests in flight went well, and since when latency is high.
func (l *Limit) learn(now time.Time, s seen) {
	if s.excess > 0 && s.excess <= healthyExcess {
		l.proven = math.Max(l.proven, math.Min(float64(s.peak), l.value))
	}
	if !l.slow(s) {
		l.slowSince = time.Time{}
		l.retrialTime = l.config.RetrialTime
		return
	}
	if l.slowSince.IsZero() {
		l.slowSince = now
	}
}

func (l *Limit) move(now time.Time, s seen) {
	switch {
	case s.shed > 0:
		l.clean = 0
	case l.well(s) && l.value < l.ceiling:
		l.trial = trial{}
		l.grow(now)
	case l.trial.phase != noTrial:
		l.continueTrial(now, s)
	case l.slow(s) && l.value > l.proven*provenMargin:
		l.clean = 0
		l.cold = false
		l.reason = LimitLate
		l.value = math.Max(l.proven*provenMargin, l.value*l.config.Backoff)
	case l.slow(s) && now.Sub(l.slowSince) >= l.retrialTime:
		l.clean = 0
		l.cold = false
		l.trial = trial{phase: measuring}
	case s.used:
		l.planRaise(now, s)
	}
}

// well reports whether the limit is used and the latency low enough for the limit to grow without a trial.
func (l *Limit) well(s seen) bool {
	return s.used && s.excess < (1+l.config.Tolerance)/2
}

// slow reports whether the limit is used and the latency too high.
func (l *Limit) slow(s seen) bool {
	return s.used && s.excess > l.config.Tolerance
}

// backOff goes below the requests with which the backend server shed one, at once but not far in one window, because
// a single answer may have other causes.
func (l *Limit) backOff(now time.Time, s Sample) {
	if l.trial.raised && l.trial.phase > measuring {
		l.endRaise(now, l.trial)
	}
	l.trial = trial{}
	l.clean = 0
	l.cold = false
	l.reason = LimitOverloaded
	l.shedValue, l.shedUntil = float64(s.inFlight), now.Add(shedValueMemory)
	l.value = math.Max(math.Min(l.value, l.shedValue-1), l.window.value*l.config.Backoff)
	l.proven = math.Min(l.proven, l.value)
	l.clamp()
}

func (l *Limit) grow(now time.Time) {
	l.clean++
	l.reason = l.growthReason()
	before := l.value
	part := math.Min(l.config.Growth*float64(l.clean), 1)
	l.value += math.Max(l.value*part, 1)
	if now.Before(l.shedUntil) {
		l.value = math.Min(l.value, math.Max(l.shedValue-1, before))
	}
}

func (l *Limit) clamp() {
	l.value = math.Min(l.value, math.Min(l.ceiling, l.highest()))
	l.value = math.Max(l.value, float64(l.config.Min))
}

// isFixed reports whether the limit stays at the announced slots.
func (l *Limit) isFixed() bool {
	return l.config.Fixed && l.announced > 0
}

// highest returns the bound that holds whatever the backend server is seen to do.
func (l *Limit) highest() float64 {
	if l.connections > 0 {
		return float64(min(l.connections, l.config.Max))
	}
	return float64(l.config.Max)
}
