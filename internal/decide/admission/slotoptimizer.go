package admission

import (
	"math"
	"time"
)

const (
	// stepRatio is the distance between neighbouring levels as a ratio of the announced slots; at least one slot.
	stepRatio = 0.05
	// minUsedRatio is the least ratio of the announced slots that a level may have.
	minUsedRatio = 0.7
	// farTrialSteps is the number of steps that the far trial goes down. It finds backend servers that slow down from
	// far below all slots.
	farTrialSteps = 4
	// candidateBatch and currentBatch are the numbers of requests that start at the candidate level and at the current
	// level before the trial switches to the other level.
	candidateBatch = 24
	currentBatch   = 48
	// minComparedSamples is the number of requests that must have ended at both levels before they are compared.
	// maxCandidateSamples is the number of requests at the candidate level after which it is rejected unless it is better.
	minComparedSamples  = 48
	maxCandidateSamples = 1200
	// requiredStandardErrors is the difference between two levels, in standard errors, that counts as significant.
	requiredStandardErrors = 2.5
	// maxRelativeTime caps a request's time relative to the mean of its kind, so that outliers have little weight.
	maxRelativeTime = 4
	// saturationTimeout is the time without a saturated limit after which the measurements of a trial are discarded.
	saturationTimeout = 2 * time.Second
	// minTrialPause and maxTrialPause bound the pause after a round of trials that found no better level.
	minTrialPause = 5 * time.Second
	maxTrialPause = time.Minute
	// minKindWeight is the least weight of one request in the moving average of its kind.
	minKindWeight = 0.02
)

// slotOptimizer finds how many of the announced slots are worth using. Some backend servers slow down when they are
// nearly full, and then have a lower throughput with all of their slots than with fewer. While requests are queued, a
// trial alternates between the current level and a candidate level and compares their throughputs. The batches are so
// short that both levels meet the same load. Times are taken relative to the mean of the request's kind, so that a
// change in the mix of kinds isn't mistaken for a change in speed.
type slotOptimizer struct {
	slots     int
	current   level
	candidate level
	// trialActive reports whether a trial is running, and candidateActive whether the candidate level is in force.
	trialActive, candidateActive bool
	// batchLeft is the number of requests to start before the trial switches to the other level.
	batchLeft int
	// stepIndex is the index in trialSteps of the current or next trial, and rejections counts the trials in succession
	// that found no better level.
	stepIndex, rejections int
	// pauseUntil is the earliest start of the next trial, and pause the length of the last pause.
	pauseUntil  time.Time
	pause       time.Duration
	saturatedAt time.Time
	kinds       map[string]kindMean
}

// level is a number of slots, with the times of the requests that started while all of these slots were in use.
type level struct {
	slots int
	count float64
	sum   float64
	// sumSquares is the sum of the squared times.
	sumSquares float64
}

// kindMean is the moving average of the service time of one kind.
type kindMean struct {
	count int
	mean  float64
}

// trialSteps lists the trials of a round, each as a number of steps up from the current level.
var trialSteps = [...]int{-1, 1, -farTrialSteps}

func newSlotOptimizer() *slotOptimizer {
	return &slotOptimizer{kinds: map[string]kindMean{}}
}

// announce sets the number of announced slots.
func (f *slotOptimizer) announce(slots int) {
	if slots == f.slots {
		return
	}
	*f = slotOptimizer{slots: slots, current: level{slots: slots}, kinds: f.kinds}
}

// value returns the number of slots to use now.
func (f *slotOptimizer) value() int {
	if f.trialActive && f.candidateActive {
		return f.candidate.slots
	}
	return f.current.slots
}

// begin records that a request started with inFlight slots in use, itself included. Only requests that reach the level in
// force count: they may start a trial or switch between the levels of a running one.
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

// beginTrial starts the next trial if one is due and its candidate level is allowed.
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

// rejectTrial ends a trial that found no better level. After a whole round of rejected trials there is a pause.
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

// end records the service time of a request that started while all of saturatedLimit slots were in use.
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

// relativeTime returns the service time relative to the mean of its kind, and whether that mean was known before.
func (f *slotOptimizer) relativeTime(kind string, serviceTime float64) (float64, bool) {
	k, known := f.kinds[kind]
	if !known && len(f.kinds) >= maxKinds {
		clear(f.kinds) // Most entries belong to routes that no longer exist.
	}
	k.count++
	k.mean += max(minKindWeight, 1/float64(k.count)) * (serviceTime - k.mean)
	f.kinds[kind] = k
	return min(serviceTime/max(k.mean, 1), maxRelativeTime), known
}

// evaluate ends the trial if its result is significant or maxCandidateSamples is reached.
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

// throughput returns the number of requests that end in the mean time of one request.
func (l *level) throughput() float64 {
	return float64(l.slots) * l.count / l.sum
}

// variance returns the variance of the logarithm of the throughput.
func (l *level) variance() float64 {
	mean := l.sum / l.count
	return (l.sumSquares/l.count - mean*mean) / (mean * mean * l.count)
}
