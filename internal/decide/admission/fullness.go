package admission

import (
	"math"
	"time"
)

const (
	// stepPart of the slots lies between a level and the next one, but at least one slot.
	stepPart = 0.05
	// leastUsedPart of the slots is always used.
	leastUsedPart = 0.7
	// farSteps is how many steps a far trial goes down, to find what slows down from far below all slots on.
	farSteps = 4
	// trialTurn and usedTurn are how many requests begin at the level on trial, and at the one in use, before the other has its turn.
	trialTurn = 24
	usedTurn  = 48
	// leastCompared is how many requests must have ended at both levels for them to be compared, and mostCompared how many at the
	// one on trial settle that it is no better.
	leastCompared = 48
	mostCompared  = 1200
	// certainty is how many standard errors apart two levels must be.
	certainty = 2.5
	// slowest bounds the time of one request over the mean of its kind, so that single ones count little.
	slowest = 4
	// fullMemory is the time without full slots after which what a trial has shown no longer counts.
	fullMemory = 2 * time.Second
	// firstTrialRest and longestTrialRest bound the time between two rounds of trials that found nothing better.
	firstTrialRest   = 5 * time.Second
	longestTrialRest = time.Minute
	// kindWeight is the least weight of one request in the mean time of its kind.
	kindWeight = 0.02
)

// fullness finds how many of the announced slots are worth using. Some backend servers slow down when they are nearly full, and then do
// less with all of their slots than with some. While requests wait, a trial lets the level in use and another one take turns, so short
// that both meet the same load, and compares the requests that they do in a second. Times count as parts of the mean time of their
// kind, so that another mix of kinds isn't taken for another speed.
type fullness struct {
	slots int
	used  level
	trial level
	// onTrial says that a trial is on, and trialsTurn that the level on trial has its turn.
	onTrial, trialsTurn bool
	// turnLeft is how many requests begin before the other level's turn.
	turnLeft int
	// move is the place in trialMoves of the present or next trial, and refused counts the trials in a row that found nothing better.
	move, refused int
	// restUntil is when the next trial may begin, and rest the time of the last rest.
	restUntil time.Time
	rest      time.Duration
	fullAt    time.Time
	kinds     map[string]kindMean
}

// level is a number of slots, with what requests took that began when so many were in use.
type level struct {
	slots int
	count float64
	sum   float64
	// squares is the sum of the squares.
	squares float64
}

// kindMean is the recent mean time of one kind.
type kindMean struct {
	count int
	mean  float64
}

// trialMoves are the trials in turn, in steps up from the level in use.
var trialMoves = [...]int{-1, 1, -farSteps}

func newFullness() *fullness {
	return &fullness{kinds: map[string]kindMean{}}
}

// announce takes in how many slots there are.
func (f *fullness) announce(slots int) {
	if slots == f.slots {
		return
	}
	*f = fullness{slots: slots, used: level{slots: slots}, kinds: f.kinds}
}

// value returns how many slots to use now.
func (f *fullness) value() int {
	if f.onTrial && f.trialsTurn {
		return f.trial.slots
	}
	return f.used.slots
}

// begin counts a request that began with so many slots in use, and may end the turn of a level.
func (f *fullness) begin(now time.Time, inFlight int) {
	if inFlight < f.value() {
		return
	}
	if now.Sub(f.fullAt) > fullMemory {
		f.onTrial = false
	}
	f.fullAt = now
	if !f.onTrial {
		f.beginTrial(now)
		return
	}
	f.turnLeft--
	if f.turnLeft > 0 {
		return
	}
	f.trialsTurn = !f.trialsTurn
	f.turnLeft = usedTurn
	if f.trialsTurn {
		f.turnLeft = trialTurn
	}
}

// beginTrial begins the next trial that there is room for, where one is due.
func (f *fullness) beginTrial(now time.Time) {
	if now.Before(f.restUntil) {
		return
	}
	step := max(int(math.Ceil(stepPart*float64(f.slots))), 1)
	slots := min(f.used.slots+trialMoves[f.move]*step, f.slots)
	if slots == f.used.slots || float64(slots) < leastUsedPart*float64(f.slots) {
		f.refuse(now)
		return
	}
	f.onTrial, f.trialsTurn, f.turnLeft = true, false, usedTurn
	f.used = level{slots: f.used.slots}
	f.trial = level{slots: slots}
}

// refuse ends a trial that found nothing better. After a round of such there is a rest.
func (f *fullness) refuse(now time.Time) {
	f.onTrial = false
	f.move = (f.move + 1) % len(trialMoves)
	f.refused++
	if f.refused < len(trialMoves) {
		return
	}
	f.refused = 0
	f.rest = min(max(2*f.rest, firstTrialRest), longestTrialRest)
	f.restUntil = now.Add(f.rest)
}

// end takes in how long a request took that began when so many slots were in use, which were all at that time.
func (f *fullness) end(now time.Time, kind string, fullAt int, took time.Duration) {
	part, known := f.part(kind, float64(took))
	if !known || !f.onTrial {
		return
	}
	switch fullAt {
	case f.used.slots:
		f.used.add(part)
	case f.trial.slots:
		f.trial.add(part)
		f.judge(now)
	}
}

// part returns the time as a part of the mean of its kind, where that is known.
func (f *fullness) part(kind string, took float64) (float64, bool) {
	k, known := f.kinds[kind]
	if !known && len(f.kinds) >= maxKinds {
		clear(f.kinds) // most are of routes that are gone
	}
	k.count++
	k.mean += max(kindWeight, 1/float64(k.count)) * (took - k.mean)
	f.kinds[kind] = k
	return min(took/max(k.mean, 1), slowest), known
}

// judge ends the trial where it has shown enough.
func (f *fullness) judge(now time.Time) {
	if min(f.used.count, f.trial.count) < leastCompared {
		return
	}
	gain := math.Log(f.trial.rate() / f.used.rate())
	doubt := certainty * math.Sqrt(f.trial.variance()+f.used.variance())
	switch {
	case gain > doubt:
		f.onTrial = false
		f.used = level{slots: f.trial.slots}
		f.refused, f.rest = 0, 0
	case gain < -doubt || f.trial.count >= mostCompared:
		f.refuse(now)
	}
}

func (l *level) add(part float64) {
	l.count++
	l.sum += part
	l.squares += part * part
}

// rate is how many requests end in the mean time of one.
func (l *level) rate() float64 {
	return float64(l.slots) * l.count / l.sum
}

// variance is that of the logarithm of the rate.
func (l *level) variance() float64 {
	mean := l.sum / l.count
	return (l.squares/l.count - mean*mean) / (mean * mean * l.count)
}
