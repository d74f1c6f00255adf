package admission

import (
	"math"
	"time"
)

// trialState is how far a trial is.
type trialState int

const (
	noTrial trialState = iota
	// measuringBefore takes the throughput before the change. The window that gave rise to the trial doesn't do for that,
	// because it may hold the moment at which the backend server changed.
	measuringBefore
	// settling waits until requests of the time before the change have ended.
	settling
	// measuringAfter takes the throughput after the change.
	measuringAfter
)

// trial is a change of the limit that throughput has to bear out. The zero trial is none.
type trial struct {
	state trialState
	// raised says that the limit goes up, above that it goes above the ceiling.
	raised       bool
	aboveCeiling bool
	// before, rate and excess are the limit, the requests ended in a second and the latency before the change.
	previousLimit float64
	throughput    float64
	latencyRatio  float64
}

const (
	// trialRequestsPerSlot and leastTrialRequests must end in each compared window of a trial for its figures to mean
	// something.
	trialRequestsPerSlot = 3
	minTrialRequests     = 30
	// minRaiseDelay and maxRaiseWait bound the time between trials of a higher limit.
	minRaiseDelay = 2 * time.Second
	maxRaiseDelay = time.Minute
	// raiseFactor is how far a trial goes up.
	raiseFactor = 1.25
	// maxRaiseLatencyRatio is how far latency may rise in a trial of a higher limit.
	maxRaiseLatencyRatio = 1.1
	// raiseWindowFactor is how many times longer than others the windows of a trial of a higher limit are.
	raiseWindowFactor = 5
	// minTrialEffect is the part of a change of the limit that must show in the throughput: for a higher limit to stay, and
	// for a lower one to be taken back.
	minTrialEffect = 0.5
)

// measuresThroughput reports whether the window's throughput is one of the two that are compared.
func (t trial) measuresThroughput() bool {
	return t.state == measuringBefore || t.state == measuringAfter
}

// expectedThroughput returns the throughput that divides a change to the value that shows from one that doesn't.
func (t trial) expectedThroughput(value float64) float64 {
	return t.throughput * (1 + minTrialEffect*(value/t.previousLimit-1))
}

// expectedLatencyRatio is the same for the latency, which falls with the limit where requests queue in the backend server.
func (t trial) expectedLatencyRatio(value float64) float64 {
	return t.latencyRatio * (1 + minTrialEffect*(value/t.previousLimit-1))
}

func (l *Limit) advanceTrial(now time.Time, s windowSummary) {
	switch l.trial.state {
	case measuringBefore:
		l.beginTrial(s)
	case settling:
		l.settle(now, s)
	case measuringAfter:
		l.concludeTrial(now, s)
	}
}

// settle ends a trial above the ceiling at once where the backend server got slow.
func (l *Limit) settle(now time.Time, s windowSummary) {
	t := l.trial
	t.state = measuringAfter
	l.trial = t
	if t.aboveCeiling && l.isSlow(s) {
		l.trial = trial{}
		l.revertRaise(now, t)
	}
}

// planRaise begins a trial of a higher limit where requests have to wait. Above the ceiling they must have waited for
// some time.
func (l *Limit) planRaise(now time.Time, s windowSummary) {
	aboveCeiling := l.value >= l.ceiling
	switch {
	case !s.saturated || aboveCeiling && (!l.mayGrow(s) || l.announced == 0 || l.ceiling >= l.hardLimit()):
	case aboveCeiling && l.aboveCeiling.until.IsZero():
		l.aboveCeiling.until = now.Add(l.aboveCeiling.delay)
	case aboveCeiling && !now.Before(l.aboveCeiling.until), !aboveCeiling && !now.Before(l.belowCeiling.until):
		l.trial = trial{state: measuringBefore, raised: true}
	}
}

// raiseDelay is a wait that doubles with each failure in succession.
type raiseDelay struct {
	until time.Time
	delay time.Duration
}

func (h *raiseDelay) failed(now time.Time) {
	h.until = now.Add(h.delay)
	h.delay = min(2*h.delay, maxRaiseDelay)
}

func (h *raiseDelay) succeeded() {
	h.delay = minRaiseDelay
}

// beginTrial changes the limit, where what gave rise to the trial still holds.
func (l *Limit) beginTrial(s windowSummary) {
	raised := l.trial.raised
	l.trial = trial{}
	switch {
	case raised && s.saturated && (l.mayGrow(s) || l.value < l.ceiling):
		l.raise(s)
	case !raised && l.isSlow(s):
		l.shrink(s)
	}
}

func (l *Limit) raise(s windowSummary) {
	aboveCeiling := l.value >= l.ceiling
	l.trial = trial{state: settling, raised: true, aboveCeiling: aboveCeiling, previousLimit: l.value, throughput: s.throughput, latencyRatio: s.latencyRatio}
	higher := math.Max(l.value*raiseFactor, l.value+1)
	if !aboveCeiling {
		higher = math.Min(higher, l.ceiling)
	}
	l.reason = LimitRaiseTrial
	l.value = math.Min(higher, l.hardLimit())
	l.ceiling = math.Max(l.ceiling, l.value)
}

func (l *Limit) shrink(s windowSummary) {
	l.trial = trial{state: settling, previousLimit: l.value, throughput: s.throughput, latencyRatio: s.latencyRatio}
	l.reason = LimitLowerTrial
	l.value *= l.config.TrialDecreaseFactor
}

// concludeTrial ends a trial.
func (l *Limit) concludeTrial(now time.Time, s windowSummary) {
	t := l.trial
	l.trial = trial{}
	if t.raised {
		l.concludeRaise(now, s, t)
		return
	}
	if s.used && (s.ended < minTrialRequests/2 || s.throughput < t.expectedThroughput(l.value) || s.latencyRatio > t.expectedLatencyRatio(l.value)) {
		l.reason = LimitLowerReverted
		l.value = t.previousLimit
		l.slowSince = now
		l.trialDelay = min(2*l.trialDelay, l.config.MaxTrialDelay)
		return
	}
	l.provenInFlight = math.Min(l.provenInFlight, l.value)
	if l.isSlow(s) {
		l.shrink(s)
	}
}

func (l *Limit) concludeRaise(now time.Time, s windowSummary, t trial) {
	if !s.saturated || s.throughput < t.expectedThroughput(l.value) || s.latencyRatio > maxRaiseLatencyRatio*t.latencyRatio {
		l.revertRaise(now, t)
		return
	}
	l.aboveCeiling.succeeded()
	l.belowCeiling.succeeded()
	l.provenInFlight = math.Max(l.provenInFlight, l.value)
	if l.value < l.hardLimit() {
		l.raise(s)
	}
}

// revertRaise goes back to what was before a higher limit that did not help.
func (l *Limit) revertRaise(now time.Time, t trial) {
	l.reason = LimitRaiseReverted
	l.value = t.previousLimit
	if !t.aboveCeiling {
		l.belowCeiling.failed(now)
		return
	}
	l.ceiling = t.previousLimit
	l.aboveCeiling.failed(now)
}
