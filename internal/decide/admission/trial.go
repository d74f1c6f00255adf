package admission

import (
	"math"
	"time"
)

// phase is how far a trial is.
type phase int

const (
	noTrial phase = iota
	// measuring takes the throughput before the change. The window that gave rise to the trial doesn't do for that,
	// because it may hold the moment at which the backend server changed.
	measuring
	// settling waits until requests of the time before the change have ended.
	settling
	// judging takes the throughput after the change.
	judging
)

// trial is a change of the limit that throughput has to bear out. The zero trial is none.
type trial struct {
	phase phase
	// raised says that the limit goes up, above that it goes above the ceiling.
	raised bool
	above  bool
	// before, rate and excess are the limit, the requests ended in a second and the latency before the change.
	before float64
	rate   float64
	excess float64
}

const (
	// trialRequestsPerSlot and leastTrialRequests must end in each compared window of a trial for its figures to mean
	// something.
	trialRequestsPerSlot = 3
	leastTrialRequests   = 30
	// firstRaiseWait and maxRaiseWait bound the time between trials of a higher limit.
	firstRaiseWait = 2 * time.Second
	maxRaiseWait   = time.Minute
	// raiseFactor is how far a trial goes up.
	raiseFactor = 1.25
	// raiseLatency is how far latency may rise in a trial of a higher limit.
	raiseLatency = 1.1
	// raiseWindows is how many times longer than others the windows of a trial of a higher limit are.
	raiseWindows = 5
	// trialProof is the part of a change of the limit that must show in the throughput: for a higher limit to stay, and
	// for a lower one to be taken back.
	trialProof = 0.5
)

// compares reports whether the window's throughput is one of the two that are compared.
func (t trial) compares() bool {
	return t.phase == measuring || t.phase == judging
}

// expected returns the throughput that divides a change to the value that shows from one that doesn't.
func (t trial) expected(value float64) float64 {
	return t.rate * (1 + trialProof*(value/t.before-1))
}

// expectedExcess is the same for the latency, which falls with the limit where requests queue in the backend server.
func (t trial) expectedExcess(value float64) float64 {
	return t.excess * (1 + trialProof*(value/t.before-1))
}

func (l *Limit) continueTrial(now time.Time, s seen) {
	switch l.trial.phase {
	case measuring:
		l.beginTrial(s)
	case settling:
		l.settle(now, s)
	case judging:
		l.judge(now, s)
	}
}

// settle ends a trial above the ceiling at once where the backend server got slow.
func (l *Limit) settle(now time.Time, s seen) {
	t := l.trial
	t.phase = judging
	l.trial = t
	if t.above && l.slow(s) {
		l.trial = trial{}
		l.endRaise(now, t)
	}
}

// planRaise begins a trial of a higher limit where requests have to wait. Above the ceiling they must have waited for
// some time.
func (l *Limit) planRaise(now time.Time, s seen) {
	above := l.value >= l.ceiling
	switch {
	case !s.saturated || above && (!l.well(s) || l.announced == 0 || l.ceiling >= l.highest()):
	case above && l.above.until.IsZero():
		l.above.until = now.Add(l.above.wait)
	case above && !now.Before(l.above.until), !above && !now.Before(l.below.until):
		l.trial = trial{phase: measuring, raised: true}
	}
}

// hold is a wait that doubles with each failure in succession.
type hold struct {
	until time.Time
	wait  time.Duration
}

func (h *hold) failed(now time.Time) {
	h.until = now.Add(h.wait)
	h.wait = min(2*h.wait, maxRaiseWait)
}

func (h *hold) succeeded() {
	h.wait = firstRaiseWait
}

// beginTrial changes the limit, where what gave rise to the trial still holds.
func (l *Limit) beginTrial(s seen) {
	raised := l.trial.raised
	l.trial = trial{}
	switch {
	case raised && s.saturated && (l.well(s) || l.value < l.ceiling):
		l.raise(s)
	case !raised && l.slow(s):
		l.shrink(s)
	}
}

func (l *Limit) raise(s seen) {
	above := l.value >= l.ceiling
	l.trial = trial{phase: settling, raised: true, above: above, before: l.value, rate: s.rate, excess: s.excess}
	higher := math.Max(l.value*raiseFactor, l.value+1)
	if !above {
		higher = math.Min(higher, l.ceiling)
	}
	l.reason = LimitRaiseTrial
	l.value = math.Min(higher, l.highest())
	l.ceiling = math.Max(l.ceiling, l.value)
}

func (l *Limit) shrink(s seen) {
	l.trial = trial{phase: settling, before: l.value, rate: s.rate, excess: s.excess}
	l.reason = LimitLowerTrial
	l.value *= l.config.TrialBackoff
}

// judge ends a trial.
func (l *Limit) judge(now time.Time, s seen) {
	t := l.trial
	l.trial = trial{}
	if t.raised {
		l.judgeRaise(now, s, t)
		return
	}
	if s.used && (s.ended < leastTrialRequests/2 || s.rate < t.expected(l.value) || s.excess > t.expectedExcess(l.value)) {
		l.reason = LimitLowerTakenBack
		l.value = t.before
		l.slowSince = now
		l.retrialTime = min(2*l.retrialTime, l.config.MaxRetrialTime)
		return
	}
	l.proven = math.Min(l.proven, l.value)
	if l.slow(s) {
		l.shrink(s)
	}
}

func (l *Limit) judgeRaise(now time.Time, s seen, t trial) {
	if !s.saturated || s.rate < t.expected(l.value) || s.excess > raiseLatency*t.excess {
		l.endRaise(now, t)
		return
	}
	l.above.succeeded()
	l.below.succeeded()
	l.proven = math.Max(l.proven, l.value)
	if l.value < l.highest() {
		l.raise(s)
	}
}

// endRaise goes back to what was before a higher limit that did not help.
func (l *Limit) endRaise(now time.Time, t trial) {
	l.reason = LimitRaiseTakenBack
	l.value = t.before
	if !t.above {
		l.below.failed(now)
		return
	}
	l.ceiling = t.before
	l.above.failed(now)
}
