package admission

import (
	"math"
	"time"
)

const (
	// stepRatio of the slots lies between a level and the next one, but at least one slot.
	stepRatio = 0.05
	// minUsedRatio of the slots is always used.
	minUsedRatio = 0.7
	// farTrialSteps is how many steps a far trial goes down, to find what slows down from far below all slots on.
	farTrialSteps = 4
	// candidateBatch and usedTurn are how many requests begin at the level on trial, and at the one in use, before the other has its turn.
	candidateBatch = 24
	currentBatch   = 48
	// minComparedSamples is how many requests must have ended at both levels for them to be compared, and mostCompared how many at the
	// one on trial settle that it is no better.
	minComparedSamples  = 48
	maxCandidateSamples = 1200
	// requiredStandardErrors is how many standard errors apart two levels must be.
	requiredStandardErrors = 2.5
	// maxRelativeTime bounds the time of one request over the mean of its kind, so that single ones count little.
	maxRelativeTime = 4
	// saturationTimeout is the time without full slots after which what a trial has shown no longer counts.
	saturationTimeout = 2 * time.Second
	// minTrialPause and longestTrialRest bound the time between two rounds of trials that found nothing better.
	minTrialPause = 5 * time.Second
	maxTrialPause = time.Minute
	// minKindWeight is the least weight of one request in the mean time of its kind.
	minKindWeight = 0.02
)

// slotOptimizer finds how many of the announced slots are worth using. Some backend servers slow down when they are nearly full, and then do
// less with all of their slots than with some. While requests wait, a trial lets the level in use and another one take turns, so short
// that both meet the same load, and compares the requests that they do in a second. Times count as parts of the mean time of their
// kind, so that another mix of kinds isn't taken for another speed.
type slotOptimizer struct {
	slots     int
	current   level
	candidate level
	// trialActive says that a trial is on, and trialsTurn that the level on trial has its turn.
	trialActive, candidateActive bool
	// batchLeft is how many requests begin before the other level's turn.
	batchLeft int
	// stepIndex is the place in trialMoves of the present or next trial, and refused counts the trials in a row that found nothing better.
	stepIndex, rejections int
	// pauseUntil is when the next trial may begin, and rest the time of the last rest.
	pauseUntil  time.Time
	pause       time.Duration
	saturatedAt time.Time
	kinds       map[string]kindMean
}

// level is a number of slots, with what requests took that began when so many were in use.
type level struct {
	slots int
	count float64
	sum   float64
	// sumSquares is the sum of the squares.
	sumSquares float64
}

// kindMean is the recent mean time of one kind.
type kindMean struct {
	count int
	mean  float64
}

// trialSteps are the trials in turn, in steps up from the level in use.
var trialSteps = [...]int{-1, 1, -farTrialSteps}

func newSlotOptimizer() *slotOptimizer {
	return &slotOptimizer{kinds: map[string]kindMean{}}
}

// announce takes in how many slots there are.
func (f *slotOptimizer) announce(slots int) {
	if slots == f.slots {
		return
	}
	*f = slotOptimizer{slots: slots, current: level{slots: slots}, kinds: f.kinds}
}

// value returns how many slots to use now.
func (f *slotOptimizer) value() int {
	if f.trialActive && f.candidateActive {
		return f.candidate.slots
	}
	return f.current.slots
}

// begin counts a request that began with so many slots in use, and may end the turn of a level.
func (f *slotOptimizer) begin(now time.Time, inFlight int) {
	if inFlight < f.value() {
		return
	}
	if now.Sub(f.saturatedAt) > saturationTimeout {
		f.trialActive = false
	}
	f.saturatedAt = now
	if !f.trialActive {
		f.beginTrial(now)
		return
	}
	f.batchLeft--
	if f.batchLeft > 0 {
		return
	}
	f.candidateActive = !f.candidateActive
	f.batchLeft = currentBatch
	if f.candidateActive {
		f.batchLeft = candidateBatch
	}
}

// beginTrial begins the next trial that there is room for, where one is due.
func (f *slotOptimizer) beginTrial(now time.Time) {
	if now.Before(f.pauseUntil) {
		return
	}
	step := max(int(math.Ceil(stepRatio*float64(f.slots))), 1)
	slots := min(f.current.slots+trialSteps[f.stepIndex]*step, f.slots)
	if slots == f.current.slots || float64(slots) < minUsedRatio*float64(f.slots) {
		f.rejectTrial(now)
		return
	}
	f.trialActive, f.candidateActive, f.batchLeft = true, false, currentBatch
	f.current = level{slots: f.current.slots}
	f.candidate = level{slots: slots}
}

// rejectTrial ends a trial that found nothing better. After a round of such there is a rest.
func (f *slotOptimizer) rejectTrial(now time.Time) {
	f.trialActive = false
	f.stepIndex = (f.stepIndex + 1) % len(trialSteps)
	f.rejections++
	if f.rejections < len(trialSteps) {
		return
	}
	f.rejections = 0
	f.pause = min(max(2*f.pause, minTrialPause), maxTrialPause)
	f.pauseUntil = now.Add(f.pause)
}

// end takes in how long a request took that began when so many slots were in use, which were all at that time.
func (f *slotOptimizer) end(now time.Time, kind string, saturatedLimit int, serviceTime time.Duration) {
	relative, known := f.relativeTime(kind, float64(serviceTime))
	if !known || !f.trialActive {
		return
	}
	switch saturatedLimit {
	case f.current.slots:
		f.current.add(relative)
	case f.candidate.slots:
		f.candidate.add(relative)
		f.evaluate(now)
	}
}

// relativeTime returns the time as a part of the mean of its kind, where that is known.
func (f *slotOptimizer) relativeTime(kind string, serviceTime float64) (float64, bool) {
	k, known := f.kinds[kind]
	if !known && len(f.kinds) >= maxKinds {
		clear(f.kinds) // most are of routes that are gone
	}
	k.count++
	k.mean += max(minKindWeight, 1/float64(k.count)) * (serviceTime - k.mean)
	f.kinds[kind] = k
	return min(serviceTime/max(k.mean, 1), maxRelativeTime), known
}

// evaluate ends the trial where it has shown enough.
func (f *slotOptimizer) evaluate(now time.Time) {
	if min(f.current.count, f.candidate.count) < minComparedSamples {
		return
	}
	gain := math.Log(f.candidate.throughput() / f.current.throughput())
	margin := requiredStandardErrors * math.Sqrt(f.candidate.variance()+f.current.variance())
	switch {
	case gain > margin:
		f.trialActive = false
		f.current = level{slots: f.candidate.slots}
		f.rejections, f.pause = 0, 0
	case gain < -margin || f.candidate.count >= maxCandidateSamples:
		f.rejectTrial(now)
	}
}

func (l *level) add(relative float64) {
	l.count++
	l.sum += relative
	l.sumSquares += relative * relative
}

// throughput is how many requests end in the mean time of one.
func (l *level) throughput() float64 {
	return float64(l.slots) * l.count / l.sum
}

// variance is that of the logarithm of the rate.
func (l *level) variance() float64 {
	mean := l.sum / l.count
	return (l.sumSquares/l.count - mean*mean) / (mean * mean * l.count)
}
