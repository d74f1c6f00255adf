// Package trees bounds how many requests of each kind run at once on a backend server while the calls that they make have
// to wait further down. A request whose calls are turned away, or wait until it is too late, has cost work at every level
// for nothing; the one place where few refusals help is before it starts. In a closed circle of requests and calls a bound
// of the requests bounds the queues below, from the first moment of a burst on.
//
// Each finished request tells how many may run beside it for calls to stand in queues for a small part of their time: as
// many as ran beside it, times what the waits leave of its time. The bound follows what they tell; up only while it is
// used. Calls that are less urgent wait longer than urgent ones at the same backend server, so the bounds of less urgent
// kinds go down first.
//
// # Usage
//
//	start, ok := limits.Begin(now, trees.Offer{Kind: kind})
//	if !ok { ... refuse ... }
//	limits.End(now, start, trees.Sample{Took: took, Waited: waited, Calls: calls})
//
// The package does no I/O and reads no clock. Limits is not safe for concurrent use.
package trees

import (
	"math"
	"time"
)

// Config sets Limits up.
type Config struct {
	// Initial is the bound of a kind of which nothing is known, or InitialPart of the slots where that is more. Min is the
	// least and Max the highest bound.
	Initial, InitialSlotRatio, Min, Max float64
	// TargetDelayRatio is the part of its time that the calls of a request should stand in queues.
	TargetDelayRatio float64
	// IdleGrowth is how much further the bound goes while calls don't wait at all, as a part of it.
	IdleGrowth float64
	// Headroom is how many requests more than a request tells the bound goes for.
	Headroom float64
	// SpilledRatio is the part of the bound up to which requests may run that another availability zone had no room for.
	SpilledRatio float64
	// Gain is the part of the way that the bound goes while as many requests end as it holds, and RegainGain the same on the way back
	// to what lately went well.
	Gain, RecoveryGain float64
	// UsedTimeout is how long ago the bound was reached at most for it to count as used.
	UsedTimeout time.Duration
}

// DefaultConfig holds where nothing else is set.
var DefaultConfig = Config{
	Initial: 16,

	InitialSlotRatio: 0.25,

	Min:              2,
	Max:              1000,
	TargetDelayRatio: 0.15,
	IdleGrowth:       0.6,
	Headroom:         1,

	SpilledRatio: 0.8,

	Gain:         1,
	RecoveryGain: 4,
	UsedTimeout:  150 * time.Millisecond,
}

// Sample is what a finished request showed.
type Sample struct {
	Duration time.Duration
	// QueueingDelay is how long its calls, and those below them, stood in queues.
	QueueingDelay time.Duration
	// Calls is how many calls it made itself.
	Calls int
	// Refused says that one of its calls was turned away for want of room.
	Refused bool
}

// Limits holds the bounds of all kinds.
type Limits struct {
	config Config
	// slots are those of the backend server.
	slots float64
	kinds map[string]*limit
}

// NewLimits returns limits that know no kind.
func NewLimits(config Config) *Limits {
	return &Limits{config: config, kinds: map[string]*limit{}}
}

// Announce sets the slots of the backend server.
func (l *Limits) Announce(slots int) {
	l.slots = float64(slots)
}

// limit is the bound of one kind.
type limit struct {
	value    float64
	inFlight int
	// observed says that a request of the kind has ended, and calls that one made calls. Until then the kind is bounded: a flood
	// may come first.
	observed   bool
	makesCalls bool
	// duration is the recent time of a request, and share the recent part of it that calls stood in queues.
	duration   time.Duration
	delayRatio float64
	// endedAt is when a request ended last, and proven how many ran at once lately while their calls waited as little as they should.
	endedAt        time.Time
	provenInFlight float64
	// usedAt is when the bound was last reached.
	usedAt time.Time
}

const (
	// sampleWeight is the least weight of one request in the recent values, and sampleTime the time in which most of what was is
	// forgotten.
	sampleWeight       = 0.2
	sampleTimeConstant = 200 * time.Millisecond
	// disproofFactor is how many times as long as they should calls wait where too many requests run.
	disproofFactor = 2
	// provenTimeConstant is the time in which most of what went well is forgotten.
	provenTimeConstant = time.Minute
	// negligibleDelayRatio is the part of the time below which calls don't wait at all.
	negligibleDelayRatio = 0.03
	// refusedDelayRatio is the part of its time that a request with a call that was turned away counts as having waited.
	refusedDelayRatio = 0.5
)

// Start is a request that has started.
type Start struct {
	kind string
	// inFlight is how many of its kind ran then, with it.
	inFlight int
}

// Offer is a request that asks to start.
type Offer struct {
	Kind string
	// Spilled says that another availability zone, which has instances of its own, had no room for it.
	Spilled bool
}

// Begin counts a request that starts, or reports false where the bound of its kind is reached. Where all zones are overloaded, one that
// spilled over from another zone would only take the place of one that costs no bytes between zones.
func (l *Limits) Begin(now time.Time, o Offer) (Start, bool) {
	k := l.kind(o.Kind)
	inFlightLimit := k.value
	if o.Spilled {
		inFlightLimit *= l.config.SpilledRatio
	}
	if float64(k.inFlight+1) >= inFlightLimit {
		k.usedAt = now
	}
	if (k.makesCalls || !k.observed) && float64(k.inFlight+1) > inFlightLimit {
		return Start{}, false
	}
	k.inFlight++
	return Start{kind: o.Kind, inFlight: k.inFlight}, true
}

// Cancel takes back a Begin whose request did not start.
func (l *Limits) Cancel(s Start) {
	l.kind(s.kind).inFlight--
}

// End takes in how a request ended.
func (l *Limits) End(now time.Time, start Start, s Sample) {
	k := l.kind(start.kind)
	inFlight := float64(start.inFlight+k.inFlight) / 2
	k.inFlight--
	k.observed = true
	if s.Calls == 0 || s.Duration <= 0 {
		return
	}
	k.makesCalls = true
	weight := max(sampleWeight, 1-decay(now, k.endedAt, sampleTimeConstant))
	k.duration += time.Duration(weight * float64(s.Duration-k.duration))
	delayRatio := min(float64(s.QueueingDelay)/float64(s.Duration), 1)
	if s.Refused {
		delayRatio = max(delayRatio, refusedDelayRatio)
	}
	k.delayRatio += weight * (delayRatio - k.delayRatio)
	l.updateProven(now, k, start.inFlight, s)
	k.endedAt = now
	if k.delayRatio < negligibleDelayRatio && k.value < k.provenInFlight {
		l.adjust(now, k, k.provenInFlight, l.config.RecoveryGain) // whatever held the calls up is over
		return
	}
	l.adjust(now, k, inFlight*l.growthFactor(k, delayRatio)+l.config.Headroom, l.config.Gain)
}

// updateProven takes in how many requests ran at once, and whether their calls waited. A call that was turned away by a backend server with room
// says nothing about that.
func (l *Limits) updateProven(now time.Time, k *limit, inFlight int, s Sample) {
	k.provenInFlight *= decay(now, k.endedAt, provenTimeConstant)
	delayRatio := float64(s.QueueingDelay) / float64(s.Duration)
	switch {
	case k.delayRatio <= l.config.TargetDelayRatio:
		k.provenInFlight = max(k.provenInFlight, float64(inFlight))
	case delayRatio > disproofFactor*l.config.TargetDelayRatio:
		k.provenInFlight = min(k.provenInFlight, float64(inFlight))
	}
}

// growthFactor returns how many times as many requests may run for calls to wait as they should, where they waited for the share.
// While there is no waiting at all it can't be told how far that is, and the answer is a good way up.
func (l *Limits) growthFactor(k *limit, delayRatio float64) float64 {
	if k.delayRatio < negligibleDelayRatio {
		return 1 + l.config.IdleGrowth
	}
	return (1 - delayRatio) / (1 - l.config.TargetDelayRatio)
}

// decay returns the part that is left of what was then.
func decay(now, then time.Time, d time.Duration) float64 {
	return math.Exp(-float64(now.Sub(then)) / float64(d))
}

// adjust takes the bound a part of the way to what a request told, at once where it holds no more than the gain.
func (l *Limits) adjust(now time.Time, k *limit, target, gain float64) {
	if target > k.value && now.Sub(k.usedAt) > l.config.UsedTimeout {
		return
	}
	weight := min(gain/max(k.value, 1), maxWeight)
	k.value = min(max(k.value+weight*(target-k.value), l.config.Min), l.config.Max)
}

// maxWeight is how far one request may take the bound.
const maxWeight = 0.5

// RetryAfter returns when a request of the kind that was refused may come back: when one of those that run has ended.
func (l *Limits) RetryAfter(kind string) time.Duration {
	return l.kind(kind).duration / 2
}

// Value returns the bound of the kind, and whether it is in force.
func (l *Limits) Value(kind string) (float64, bool) {
	k := l.kind(kind)
	return k.value, k.makesCalls
}

// MakesCalls reports whether requests of some kind were seen to make calls.
func (l *Limits) MakesCalls() bool {
	for _, k := range l.kinds {
		if k.makesCalls {
			return true
		}
	}
	return false
}

func (l *Limits) kind(name string) *limit {
	k, known := l.kinds[name]
	if !known {
		k = &limit{value: max(l.config.Initial, l.config.InitialSlotRatio*l.slots)}
		l.kinds[name] = k
	}
	return k
}
