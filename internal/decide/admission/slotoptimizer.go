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
	// farTrialSteps is the number of steps by which the far trial lowers the level. The far trial finds backend servers
	// that are already slow with far fewer requests than slots in flight.
	farTrialSteps = 4
	// candidateBatch and currentBatch are the numbers of requests that start at the candidate level and at the current
	// level before the trial switches to the other level.
	candidateBatch = 24
	currentBatch   = 48
	// minComparedSamples is the number of requests that must have ended at each level before the two are compared.
	// maxCandidateSamples is the number of requests at the candidate level after which it is rejected unless it is
	// better.
	minComparedSamples  = 48
	maxCandidateSamples = 1200
	// requiredStandardErrors is the difference between two levels, in standard errors, that counts as significant.
	requiredStandardErrors = 2.5
	// maxRelativeTime limits a request's time relative to the mean of its kind, so that outliers have little weight.
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

// trialSteps lists the trials of a round, each as a number of steps up from the current level; negative steps go down.
var trialSteps = [...]int{-1, 1, -farTrialSteps}

func newSlotOptimizer() *slotOptimizer {
	return &slotOptimizer{kinds: map[string]kindMean{}}
}

// announce sets the number of announced slots.
func (o *slotOptimizer) announce(slots int) {
	if slots == o.slots {
		return
	}
	*o = slotOptimizer{slots: slots, current: level{slots: slots}, kinds: o.kinds}
}

// value returns the number of slots to use now.
func (o *slotOptimizer) value() int {
	if o.trialActive && o.candidateActive {
		return o.candidate.slots
	}
	return o.current.slots
}

// begin records that a request started with inFlight slots in use, itself included. Only requests that reach the level in
// force count: they may start a trial or switch between the levels of a running one.
func (o *slotOptimizer) begin(now time.Time, inFlight int) {
	if inFlight < o.value() {
		return
	}
	if now.Sub(o.saturatedAt) > saturationTimeout {
		o.trialActive = false
	}
	o.saturatedAt = now
	if !o.trialActive {
		o.beginTrial(now)
		return
	}
	o.batchLeft--
	if o.batchLeft > 0 {
		return
	}
	o.candidateActive = !o.candidateActive
	o.batchLeft = currentBatch
	if o.candidateActive {
		o.batchLeft = candidateBatch
	}
}

// beginTrial starts the next trial if one is due and its candidate level is allowed.
func (o *slotOptimizer) beginTrial(now time.Time) {
	if now.Before(o.pauseUntil) {
		return
	}
	step := max(int(math.Ceil(stepRatio*float64(o.slots))), 1)
	slots := min(o.current.slots+trialSteps[o.stepIndex]*step, o.slots)
	if slots == o.current.slots || float64(slots) < minUsedRatio*float64(o.slots) {
		o.rejectTrial(now)
		return
	}
	o.trialActive, o.candidateActive, o.batchLeft = true, false, currentBatch
	o.current = level{slots: o.current.slots}
	o.candidate = level{slots: slots}
}

// rejectTrial ends a trial that found no better level. After a whole round of rejected trials there is a pause.
func (o *slotOptimizer) rejectTrial(now time.Time) {
	o.trialActive = false
	o.stepIndex = (o.stepIndex + 1) % len(trialSteps)
	o.rejections++
	if o.rejections < len(trialSteps) {
		return
	}
	o.rejections = 0
	o.pause = min(max(2*o.pause, minTrialPause), maxTrialPause)
	o.pauseUntil = now.Add(o.pause)
}

// end records the service time of a request. saturatedLimit is the number of slots if all of them were in use when the
// request started, else 0.
func (o *slotOptimizer) end(now time.Time, kind string, saturatedLimit int, serviceTime time.Duration) {
	relative, known := o.relativeTime(kind, float64(serviceTime))
	if !known || !o.trialActive {
		return
	}
	switch saturatedLimit {
	case o.current.slots:
		o.current.add(relative)
	case o.candidate.slots:
		o.candidate.add(relative)
		o.evaluate(now)
	}
}

// relativeTime returns the service time relative to the mean of its kind, and whether that mean was known before.
func (o *slotOptimizer) relativeTime(kind string, serviceTime float64) (float64, bool) {
	k, known := o.kinds[kind]
	if !known && len(o.kinds) >= maxKinds {
		clear(o.kinds) // Most entries belong to routes that no longer exist.
	}
	k.count++
	k.mean += max(minKindWeight, 1/float64(k.count)) * (serviceTime - k.mean)
	o.kinds[kind] = k
	return min(serviceTime/max(k.mean, 1), maxRelativeTime), known
}

// evaluate ends the trial if its result is significant or maxCandidateSamples is reached.
func (o *slotOptimizer) evaluate(now time.Time) {
	if min(o.current.count, o.candidate.count) < minComparedSamples {
		return
	}
	gain := math.Log(o.candidate.throughput() / o.current.throughput())
	margin := requiredStandardErrors * math.Sqrt(o.candidate.variance()+o.current.variance())
	switch {
	case gain > margin:
		o.trialActive = false
		o.current = level{slots: o.candidate.slots}
		o.rejections, o.pause = 0, 0
	case gain < -margin || o.candidate.count >= maxCandidateSamples:
		o.rejectTrial(now)
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
