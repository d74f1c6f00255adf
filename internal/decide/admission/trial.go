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
	// raised says that the limit goes above the ceiling, not down.
	raised bool
	// before, rate and excess are the limit, the requests ended in a second and the latency before the change.
	before float64
	rate   float64
	excess float64
}

const (
	// leastTrialRequests must end in each window of a trial for its figures to mean something.
	leastTrialRequests = 20
	// firstRaiseWait and maxRaiseWait bound the time between trials above the ceiling.
	firstRaiseWait = 2 * time.Second
	maxRaiseWait   = time.Minute
	// raiseFactor is how far a trial goes above the ceiling.
	raiseFactor = 1.25
	// raiseLatency is how far latency may rise in a trial above the ceiling.
	raiseLatency = 1.1
	// raiseWindows is how many times longer than others the windows of a trial above the ceiling are.
	raiseWindows = 5
	// shrinkProof and raiseProof are the part of a change of the limit that must show in the throughput: for a lower
	// limit to be taken back, and for a higher one to stay.
	shrinkProof = 0.4
	raiseProof  = 0.6
)

// compares reports whether the window's throughput is one of the two that are compared.
func (t trial) compares() bool {
	return t.phase == measuring || t.phase == judging
}

// expected returns the throughput that a change to the value should bring if the given part of it shows.
func (t trial) expected(value, part float64) float64 {
	return t.rate * (1 + part*(value/t.before-1))
}

func (l *Limit) continueTrial(now time.Time, s seen) {
	switch l.trial.phase {
	case measuring:
		l.beginTrial(s)
	case settling:
		l.trial.phase = judging
	case judging:
		l.judge(now, s)
	}
}

// planRaise begins a trial above the ceiling where requests have waited for long enough.
func (l *Limit) planRaise(now time.Time, s seen) {
	switch {
	case l.announced == 0 || l.ceiling >= l.highest() || !s.wanted:
	case l.raiseAfter.IsZero():
		l.raiseAfter = now.Add(l.raiseWait)
	case !now.Before(l.raiseAfter):
		l.trial = trial{phase: measuring, raised: true}
	}
}

// beginTrial changes the limit, where what gave rise to the trial still holds.
func (l *Limit) beginTrial(s seen) {
	raised := l.trial.raised
	l.trial = trial{}
	switch {
	case raised && s.wanted:
		l.raise(s)
	case !raised && l.slow(s):
		l.shrink(s)
	}
}

func (l *Limit) raise(s seen) {
	l.trial = trial{phase: settling, raised: true, before: l.value, rate: s.rate, excess: s.excess}
	l.ceiling = math.Min(math.Max(l.ceiling*raiseFactor, l.ceiling+1), l.highest())
	l.value = l.ceiling
}

func (l *Limit) shrink(s seen) {
	l.trial = trial{phase: settling, before: l.value, rate: s.rate, excess: s.excess}
	l.value *= l.config.LatencyBackoff
}

// judge ends a trial.
func (l *Limit) judge(now time.Time, s seen) {
	t := l.trial
	l.trial = trial{}
	switch {
	case t.raised && s.wanted && s.rate >= t.expected(l.value, raiseProof) && s.excess <= raiseLatency*t.excess:
		l.raiseWait = firstRaiseWait
		if l.ceiling < l.highest() {
			l.raise(s)
		}
	case t.raised:
		l.endRaise(now, t)
	case s.used && (s.ended < leastTrialRequests/2 || s.rate < t.expected(l.value, shrinkProof)):
		l.value = t.before
		l.normal = math.Max(s.excess, 1)
		l.normalUntil = now.Add(l.retrialTime)
		l.retrialTime = min(2*l.retrialTime, l.config.MaxRetrialTime)
	case l.slow(s):
		l.shrink(s)
	}
}

// endRaise goes back below the ceiling that did not help.
func (l *Limit) endRaise(now time.Time, t trial) {
	l.ceiling, l.value = t.before, t.before
	l.raiseAfter = now.Add(l.raiseWait)
	l.raiseWait = min(2*l.raiseWait, maxRaiseWait)
}
