// Package calllimit limits how many requests of each kind are in flight on a backend server while the calls that they
// make are queued further down the call tree. A request whose calls are refused, or queued until the deadline, has
// wasted work at every level; a refusal costs least before the request starts. Requests and their calls form a closed
// loop: a limit of the requests also limits the queues further down, even at the start of a burst.
//
// Each finished request yields an estimate of the in-flight limit at which calls are queued for a small fraction of the
// request's duration: the number of requests in flight, times the fraction of the duration that was not queueing delay.
// The limit follows these estimates, but rises only while it is used. Less urgent calls are queued for longer than urgent
// ones at the same backend server, so the limits of less urgent kinds fall first.
//
// # Usage
//
//	limits := calllimit.NewLimits(calllimit.DefaultConfig)
//	start, ok := limits.Begin(now, calllimit.Offer{Kind: kind})
//	if !ok {
//		return limits.RetryAfter(kind) // the request is refused
//	}
//	// Run the request.
//	limits.End(now, start, calllimit.Sample{Duration: duration, QueueingDelay: delay, Calls: calls})
//
// The package does no I/O and reads no clock. Limits is not safe for concurrent use.
package calllimit

import (
	"math"
	"time"
)

// Config configures Limits.
type Config struct {
	// Initial is the initial in-flight limit of a kind, or InitialSlotRatio times the announced slots if that is higher.
	// Min and Max bound all limits.
	Initial, InitialSlotRatio, Min, Max float64
	// TargetDelayRatio is the desired ratio of the queueing delay of a request's calls to the request's duration.
	TargetDelayRatio float64
	// IdleGrowth is the relative growth of the limit while calls are not queued at all.
	IdleGrowth float64
	// Headroom is added to the estimate of the limit that a request yields.
	Headroom float64
	// SpilledRatio is the fraction of the limit that is open to requests spilled from other availability zones.
	SpilledRatio float64
	// Gain is the fraction of the distance to the estimate that the limit covers while as many requests end as it
	// allows. RecoveryGain is the same for the return to a limit that recently worked well.
	Gain, RecoveryGain float64
	// UsedTimeout is how long after it was last reached the limit counts as used.
	UsedTimeout time.Duration
}

// DefaultConfig is the default configuration.
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

// Sample is the measurement of one finished request.
type Sample struct {
	Duration time.Duration
	// QueueingDelay is the total queueing delay of the request's calls and of the calls below them.
	QueueingDelay time.Duration
	// Calls is the number of calls that the request itself made.
	Calls int
	// Refused reports whether a call of the request was refused because of overload.
	Refused bool
}

// Limits holds the in-flight limits of all kinds.
type Limits struct {
	config Config
	// slots is the number of slots that the backend server announces.
	slots float64
	kinds map[string]*limit
}

// NewLimits returns limits without any kind.
func NewLimits(config Config) *Limits {
	return &Limits{config: config, kinds: map[string]*limit{}}
}

// Announce sets the number of slots of the backend server.
func (l *Limits) Announce(slots int) {
	l.slots = float64(slots)
}

// limit is the in-flight limit of one kind.
type limit struct {
	value    float64
	inFlight int
	// observed reports whether a request of the kind has ended, and makesCalls whether one made calls. Only kinds that
	// make calls are limited. Before the first request has ended, a kind counts as making calls, because its first
	// requests may be a flood.
	observed   bool
	makesCalls bool
	// duration is the moving average of request durations, and delayRatio that of the ratio of queueing delay to duration.
	duration   time.Duration
	delayRatio float64
	// endedAt is when a request last ended. provenInFlight is the recent maximum of requests in flight at which the
	// queueing delay of calls was within the target; it decays over time.
	endedAt        time.Time
	provenInFlight float64
	// usedAt is when the limit was last reached.
	usedAt time.Time
}

const (
	// sampleWeight is the least weight of one request in the moving averages, and sampleTimeConstant their time constant.
	sampleWeight       = 0.2
	sampleTimeConstant = 200 * time.Millisecond
	// disproofFactor is the ratio of queueing delay to its target above which too many requests are in flight.
	disproofFactor = 2
	// provenTimeConstant is the time constant with which provenInFlight decays.
	provenTimeConstant = time.Minute
	// negligibleDelayRatio is the delay ratio below which calls count as not queued at all.
	negligibleDelayRatio = 0.03
	// refusedDelayRatio is the least delay ratio of a request with a refused call.
	refusedDelayRatio = 0.5
)

// Start identifies a request that has started.
type Start struct {
	kind string
	// inFlight is the number of requests of the kind in flight at the start, itself included.
	inFlight int
}

// Offer is a request that asks to start.
type Offer struct {
	Kind string
	// Spilled reports whether the request comes from another availability zone that has instances of its own but no free
	// capacity.
	Spilled bool
}

// Begin counts a request that starts, or returns false if the limit of its kind is reached. Spilled requests have a lower
// limit: if all availability zones are overloaded, a spilled request would only displace a local request, and a local
// request causes no traffic between zones.
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

// Cancel undoes Begin for a request that did not start.
func (l *Limits) Cancel(s Start) {
	l.kind(s.kind).inFlight--
}

// End records the end of a request.
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
		l.adjust(now, k, k.provenInFlight, l.config.RecoveryGain) // Calls are no longer queued.
		return
	}
	l.adjust(now, k, inFlight*l.growthFactor(k, delayRatio)+l.config.Headroom, l.config.Gain)
}

// updateProven updates provenInFlight from the number of requests in flight and the queueing delay of the request's calls.
// Refused calls don't lower it, because a backend server with free capacity may refuse calls too.
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

// growthFactor returns the factor by which the number of requests may change for the queueing delay to reach its target.
// While calls are not queued at all, that factor can't be measured, and the result is 1 + Config.IdleGrowth.
func (l *Limits) growthFactor(k *limit, delayRatio float64) float64 {
	if k.delayRatio < negligibleDelayRatio {
		return 1 + l.config.IdleGrowth
	}
	return (1 - delayRatio) / (1 - l.config.TargetDelayRatio)
}

// decay returns the factor by which a value from time then has decayed, with the time constant d.
func decay(now, then time.Time, d time.Duration) float64 {
	return math.Exp(-float64(now.Sub(then)) / float64(d))
}

// adjust moves the limit towards the target by a fraction of the distance: the gain divided by the limit, at most
// maxWeight. A limit that was not reached within Config.UsedTimeout does not rise.
func (l *Limits) adjust(now time.Time, k *limit, target, gain float64) {
	if target > k.value && now.Sub(k.usedAt) > l.config.UsedTimeout {
		return
	}
	weight := min(gain/max(k.value, 1), maxWeight)
	k.value = min(max(k.value+weight*(target-k.value), l.config.Min), l.config.Max)
}

// maxWeight is the greatest fraction of the distance that one request moves the limit.
const maxWeight = 0.5

// RetryAfter returns the Retry-After of a refused request: about the time until a running request of the kind ends.
func (l *Limits) RetryAfter(kind string) time.Duration {
	return l.kind(kind).duration / 2
}

// Value returns the limit of the kind, and whether a request of the kind has made calls, so that the limit is in force.
func (l *Limits) Value(kind string) (float64, bool) {
	k := l.kind(kind)
	return k.value, k.makesCalls
}

// MakesCalls reports whether a request of any kind made calls.
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
