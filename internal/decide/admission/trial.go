package admission

import (
	"math"
	"time"
)

// trialState is the state of a trial.
type trialState int

const (
	noTrial trialState = iota
	// measuringBefore measures the throughput before the change. The window that triggered the trial is not used for
	// this, because the backend server may have changed in the middle of it.
	measuringBefore
	// settling lasts one window, in which requests that started before the change end.
	settling
	// measuringAfter measures the throughput after the change.
	measuringAfter
)

// trial is a change of the limit that is kept or reverted depending on throughput. The zero value is no trial.
type trial struct {
	state trialState
	// raised reports whether the limit goes up, and aboveCeiling whether it goes above the ceiling.
	raised       bool
	aboveCeiling bool
	// previousLimit, throughput and latencyRatio are the limit and the measurements before the change.
	previousLimit float64
	throughput    float64
	latencyRatio  float64
}

const (
	// trialRequestsPerSlot and minTrialRequests set the number of requests that must end in each compared window of a
	// trial for the comparison to be meaningful.
	trialRequestsPerSlot = 3
	minTrialRequests     = 30
	// minRaiseDelay and maxRaiseDelay bound the time between trials of a higher limit.
	minRaiseDelay = 2 * time.Second
	maxRaiseDelay = time.Minute
	// raiseFactor is the factor by which a trial raises the limit.
	raiseFactor = 1.25
	// maxRaiseLatencyRatio is the factor by which latency may rise in a trial of a higher limit.
	maxRaiseLatencyRatio = 1.1
	// raiseWindowFactor is the factor by which the windows of a trial of a higher limit are longer than others.
	raiseWindowFactor = 5
	// minTrialEffect is the fraction of the relative change of the limit that must show in the throughput. With less, a
	// higher limit is reverted; with more, a lower limit is.
	minTrialEffect = 0.5
)

// measuresThroughput reports whether the throughput of the window is compared with that of another one.
func (t trial) measuresThroughput() bool {
	return t.state == measuringBefore || t.state == measuringAfter
}

// expectedThroughput returns the throughput below which the change to the value is reverted.
func (t trial) expectedThroughput(value float64) float64 {
	return t.throughput * (1 + minTrialEffect*(value/t.previousLimit-1))
}

// expectedLatencyRatio returns the latency ratio above which a lower limit is reverted: if requests are queued in the
// backend server, latency falls with the limit.
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

// settle reverts a trial above the ceiling at once if the backend server became slow.
func (l *Limit) settle(now time.Time, s windowSummary) {
	t := l.trial
	t.state = measuringAfter
	l.trial = t
	if t.aboveCeiling && l.isSlow(s) {
		l.trial = trial{}
		l.revertRaise(now, t)
	}
}

// planRaise starts a trial of a higher limit if requests are blocked. A trial above the ceiling starts only after a delay
// since requests were first blocked there, or since the last such trial failed.
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

// raiseDelay is a delay between trials of a higher limit. It doubles with each failed trial in succession.
type raiseDelay struct {
	until time.Time
	delay time.Duration
}

func (d *raiseDelay) failed(now time.Time) {
	d.until = now.Add(d.delay)
	d.delay = min(2*d.delay, maxRaiseDelay)
}

func (d *raiseDelay) succeeded() {
	d.delay = minRaiseDelay
}

// beginTrial changes the limit if the condition that triggered the trial still holds.
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

// concludeTrial keeps or reverts the change of the limit.
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

// revertRaise restores the previous limit after a higher one did not help.
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
