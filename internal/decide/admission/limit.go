package admission

import (
	"math"
	"time"
)

// LimitConfig configures a Limit.
type LimitConfig struct {
	// Fixed keeps the limit at the announced slots that are worth using; see slotOptimizer. It is for backend servers
	// whose announcement is known to be true. If such a backend server sheds below its slots, it fails a fraction of its
	// requests, and a lower in-flight limit would not help.
	Fixed bool
	// Initial is the initial limit, unless fewer slots are announced.
	Initial int
	Min     int
	Max     int
	// Tolerance is the ratio of latency to baseline above which the limit shrinks.
	Tolerance float64
	// LatencySlack is added to each baseline, so that noise in the latency of fast requests has little weight.
	LatencySlack time.Duration
	// DecreaseFactor is the lowest factor by which the limit shrinks in one window because the backend server shed, or
	// because latency is high.
	DecreaseFactor float64
	// TrialDecreaseFactor is the factor by which the limit shrinks in a trial of a lower limit.
	TrialDecreaseFactor float64
	// GrowthRatio is the relative growth after the first window in which the limit was used without trouble. It rises by as
	// much with each further such window, until the limit doubles.
	GrowthRatio float64
	// Window is the minimum time for which samples are collected before the limit is adjusted.
	Window time.Duration
	// MaxWindow is the maximum time for which they are collected; windows of a trial may last twice as long.
	MaxWindow time.Duration
	// KindRetention is how long the baseline of a kind is kept after its last request.
	KindRetention time.Duration
	// TrialDelay is how long latency must be high before a lower limit is tried. Each trial in succession that is
	// reverted doubles the delay, up to MaxTrialDelay.
	TrialDelay    time.Duration
	MaxTrialDelay time.Duration
}

// Limit is an adaptive in-flight limit. It starts low, grows at an increasing rate while it is used without trouble, and
// shrinks when the backend server sheds or its latency rises.
//
// High latency alone does not distinguish too much concurrency from slow work: a lower limit cures the first and worsens
// the second. So the limit remembers how many requests in flight the backend server has handled at low latency. Above
// that number, high latency shrinks the limit at once, and the limit grows only in trials: a higher limit is kept only if
// throughput rises. Below that number, high latency is attributed to slow work, and the limit shrinks only in trials,
// after a delay: a lower limit is kept only if throughput does not fall. A limit above the announced slots is also
// reached only in trials.
type Limit struct {
	config  LimitConfig
	latency *latencyTracker
	// slotOptimizer chooses the limit if it is fixed.
	slotOptimizer *slotOptimizer
	value         float64
	// ceiling is the upper limit of value; it follows the announced slots and the results of trials above them.
	ceiling     float64
	announced   int
	connections int

	window window
	trial  trial
	// cleanWindows counts the windows without trouble in which the limit grew, since the last window with trouble.
	cleanWindows int
	// provenInFlight is the number of requests in flight that the backend server has handled at low latency.
	provenInFlight float64
	// slowSince is the time at which latency became high, or at which the last trial of a lower limit was reverted; zero
	// while latency is low. The next trial of a lower limit starts trialDelay later.
	slowSince  time.Time
	trialDelay time.Duration
	// shedInFlight is the number of requests in flight at the last shed; the limit does not grow to it again before
	// shedInFlightUntil.
	shedInFlight      float64
	shedInFlightUntil time.Time
	// aboveCeiling and belowCeiling delay trials of a higher limit above and below the ceiling.
	aboveCeiling raiseDelay
	belowCeiling raiseDelay
	holdTime     time.Duration
	// change is the last change of the limit, reason is why value was last adjusted, and cold reports whether there was
	// no trouble yet.
	change LimitChange
	reason LimitReason
	cold   bool
}

// window accumulates samples since the last adjustment of the limit.
type window struct {
	start time.Time
	// value is the limit at the start of the window.
	value float64
	ended int
	shed  int
	peak  int
	// blocked counts requests that would have started at once under a higher limit.
	blocked       int
	totalHoldTime time.Duration
}

// windowSummary is the result of a closed window.
type windowSummary struct {
	window
	// used reports whether most of the limit was in flight, or requests were blocked.
	used bool
	// saturated reports whether at least one request was blocked for every two that ended, so that the limit determines
	// the throughput.
	saturated bool
	// latencyRatio is the mean ratio of latency to baseline; 0 without samples.
	latencyRatio float64
	// throughput is the number of requests that ended in a second.
	throughput float64
}

const (
	// usedRatio is the least ratio of peak requests in flight to the limit for the limit to count as used.
	usedRatio = 0.8
	// healthyLatencyRatio is the highest latency ratio that counts as trouble-free.
	healthyLatencyRatio = 1.25
	// provenMargin is the ratio of the limit to provenInFlight above which high latency shrinks the limit at once.
	provenMargin = 1.25
	// initialCleanWindows is the initial count of windows without trouble. It lets a new limit double after its first
	// window, with a GrowthRatio of 0.1.
	initialCleanWindows = 9
	// shedInFlightTimeout is how long the limit does not grow to the number of requests in flight at which the backend
	// server shed.
	shedInFlightTimeout = time.Second
)

// NewLimit returns a limit with its initial value.
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

// HoldTime returns the recent mean time for which a request holds its slot; 0 before the first sample.
func (l *Limit) HoldTime() time.Duration {
	return l.holdTime
}

// MinHoldTime returns the recent minimum time for which a request of the kind holds its slot; 0 if unknown.
func (l *Limit) MinHoldTime(now time.Time, kind string) time.Duration {
	return l.latency.minHoldTime(now, kind)
}

// Announce sets the slots and connections that the backend server announces. The slots are a hint for the ceiling; the
// connections are a hard limit.
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

// Begin records that a request took a slot. It returns the limit if that was the last slot, else 0.
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

// NoteBlocked records that a request would have started at once under a higher limit.
func (l *Limit) NoteBlocked() {
	l.window.blocked++
}

// Observe records one sample.
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

// windowOver reports whether the window holds about one request for each slot, or more in a trial, or has reached its
// maximum length.
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

// updateProven updates provenInFlight, and the time since which latency is high.
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

// mayGrow reports whether the limit is used and latency is low enough for the limit to grow without a trial.
func (l *Limit) mayGrow(s windowSummary) bool {
	return s.used && s.latencyRatio < (1+l.config.Tolerance)/2
}

// isSlow reports whether the limit is used and latency is too high.
func (l *Limit) isSlow(s windowSummary) bool {
	return s.used && s.latencyRatio > l.config.Tolerance
}

// backOff lowers the limit below the number of requests in flight at which the backend server shed. It does not wait for
// the end of the window, but the decrease in one window is limited by DecreaseFactor, because a single refusal may have
// other causes.
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

// isFixed reports whether the limit stays at the announced slots that are worth using.
func (l *Limit) isFixed() bool {
	return l.config.Fixed && l.announced > 0
}

// hardLimit returns the upper limit that holds regardless of the backend server's behaviour.
func (l *Limit) hardLimit() float64 {
	if l.connections > 0 {
		return float64(min(l.connections, l.config.Max))
	}
	return float64(l.config.Max)
}
