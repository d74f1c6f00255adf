package routing

import (
	"math"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// Result is what the outcome of an attempt says about the health of the instance.
type Result int

const (
	// Neutral says nothing about the instance, for example because the caller gave up or a call further down the chain
	// failed.
	Neutral Result = iota
	// Good means that the backend server responded without a server error.
	Good
	// Failed means a server error, a broken connection or a timeout.
	Failed
	// Shed means that the instance refuses requests of this rank and of less urgent ranks.
	Shed
	// KindLimited means that the requests of this kind have reached their in-flight limit at the instance, because
	// their calls are queued further down the chain.
	KindLimited
)

// Load is the load that an instance reports about itself. It lags behind the actual load.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// SheddingRank is the most urgent rank that the instance sheds; 0 means none.
	SheddingRank int
}

// Sample is the observed outcome of one attempt.
type Sample struct {
	Result  Result
	Latency time.Duration
	Kind    string
	// Rank is the rank of the request. If the request was shed, the instance sheds this rank and all less urgent
	// ones.
	Rank int
	// AllShed reports whether the instance refuses requests of all ranks.
	AllShed bool
	// Reason names the failure or the refusal, for the state dump.
	Reason string
	// Bytes is the size of the request and its reply. DownstreamCrossZoneBytes is how many bytes the calls further
	// down the chain sent between availability zones.
	Bytes, DownstreamCrossZoneBytes int64
	// Load is the load that the instance reported; a Limit of 0 means that it reported none.
	Load Load
}

// Instance is the state that a sender keeps about one instance.
type Instance struct {
	Member Member
	// Unreachable reports whether the instance does not reply. Such an instance gets requests only if all others are
	// ejected or unreachable.
	Unreachable bool

	config   *Config
	inFlight [admission.Ranks]int
	load     Load
	// joinedAt is when the instance was added; zero if it belongs to the first members of the set.
	joinedAt time.Time

	latencies latencies
	// sizes averages the bytes of requests with their replies over all instances of the set. crossZoneBytes averages
	// how many bytes the calls of the requests at this instance send between availability zones, and
	// crossZoneFraction is the fraction of requests whose calls send any.
	sizes             *kindAverages
	crossZoneBytes    kindAverages
	crossZoneFraction kindAverages
	errorAverage      float64
	errorUpdatedAt    time.Time

	failures     int
	ejectedUntil time.Time
	ejection     Ejection
	// kindLimitedUntil holds, for each kind, the time until which the instance counts as having reached the in-flight
	// limit of the kind.
	kindLimitedUntil map[string]time.Time
	lastShed         ShedEvidence
	sheddingRank     int
	shedUntil        time.Time
}

// Begin records the start of an attempt of the given rank.
func (i *Instance) Begin(rank int) {
	i.inFlight[rank]++
}

// End records the outcome of an attempt.
func (i *Instance) End(now time.Time, s Sample) {
	i.inFlight[s.Rank] = max(i.inFlight[s.Rank]-1, 0) // the attempt may have begun before the instance left and rejoined
	if s.Load.Limit > 0 {
		i.load = s.Load
	}
	if s.Result != Shed && s.Result != KindLimited {
		i.sizes.observe(now, s.Kind, float64(s.Bytes))
		i.crossZoneBytes.observe(now, s.Kind, float64(s.DownstreamCrossZoneBytes))
		i.crossZoneFraction.observe(now, s.Kind, crossZoneIndicator(s.DownstreamCrossZoneBytes))
	}
	switch s.Result {
	case Good:
		i.failures = 0
		i.observeError(now, 0)
		i.latencies.observe(now, requestClass{rank: s.Rank, kind: s.Kind}, s.Latency, i.config.TimeConstant)
	case Failed:
		i.failures++
		i.observeError(now, 1)
		if i.failures >= i.config.FailuresToEject || i.Member.Unconfirmed {
			i.ejectedUntil = now.Add(i.ejectionTime())
			i.ejection = Ejection{Reason: ConsecutiveFailures, Failures: i.failures, LastFailure: s.Reason, At: now}
		}
	case Shed:
		i.sheddingRank = s.Rank
		i.shedUntil = now.Add(i.config.SheddingTime)
		if s.AllShed {
			i.sheddingRank = 0
			i.shedUntil = now.Add(i.config.LeavingTime)
		}
		i.lastShed = ShedEvidence{Reason: ShedReply, InstanceReason: s.Reason, At: now}
	case KindLimited:
		i.markKindLimited(now, s.Kind)
	}
}

func (i *Instance) markKindLimited(now time.Time, kind string) {
	if i.kindLimitedUntil == nil || len(i.kindLimitedUntil) >= maxKinds {
		i.kindLimitedUntil = map[string]time.Time{}
	}
	i.kindLimitedUntil[kind] = now.Add(i.config.KindLimitedTime)
}

// isKindLimited reports whether the instance recently refused a request of the same kind because that kind had
// reached its in-flight limit. Calls are exempt.
func (i *Instance) isKindLimited(now time.Time, r Request) bool {
	return !r.IsCall && now.Before(i.kindLimitedUntil[r.Kind])
}

// acceptsRequests reports whether the instance answers and accepts requests of at least one rank.
func (i *Instance) acceptsRequests(now time.Time) bool {
	return !i.Unreachable && !i.isEjected(now) && !i.sheds(now, 0)
}

// crossZoneIndicator returns 1 if the calls of a request sent bytes between availability zones, and 0 otherwise.
func crossZoneIndicator(crossZoneBytes int64) float64 {
	if crossZoneBytes > 0 {
		return 1
	}
	return 0
}

func (i *Instance) ejectionTime() time.Duration {
	if i.Member.Unconfirmed {
		return i.config.UnconfirmedEjectionTime
	}
	return i.config.EjectionTime
}

// minErrorWeight is the minimum weight of one reply in the error rate.
const minErrorWeight = 0.1

func (i *Instance) observeError(now time.Time, value float64) {
	weight := max(minErrorWeight, 1-i.decay(now, i.errorUpdatedAt))
	i.errorAverage += weight * (value - i.errorAverage)
	i.errorUpdatedAt = now
}

// decay returns the weight that remains at now of a value observed at then.
func (i *Instance) decay(now, then time.Time) float64 {
	return math.Exp(-float64(now.Sub(then)) / float64(i.config.TimeConstant))
}

func (i *Instance) isEjected(now time.Time) bool {
	return now.Before(i.ejectedUntil)
}

// failingErrorRate is the error rate from which an instance is no longer preferred for being in the sender's zone.
const failingErrorRate = 0.5

func (i *Instance) isFailing(now time.Time) bool {
	return i.errorRate(now) >= failingErrorRate
}

// errorRate returns the fraction of replies that were failures. It decays with the time since the last reply.
func (i *Instance) errorRate(now time.Time) float64 {
	if i.errorAverage == 0 {
		return 0
	}
	return i.errorAverage * i.decay(now, i.errorUpdatedAt)
}

func (i *Instance) sheds(now time.Time, rank int) bool {
	return now.Before(i.shedUntil) && rank >= i.sheddingRank
}

// requestsAhead estimates how many requests the instance serves before a new one of the given rank. While the
// instance sheds less urgent ranks, its queue holds mostly requests that the new one overtakes, so only the requests
// in flight and this sender's own attempts of the rank and of more urgent ranks count.
func (i *Instance) requestsAhead(rank int) float64 {
	if rank < i.load.SheddingRank {
		return float64(i.load.InFlight + i.inFlightUpTo(rank))
	}
	return float64(max(i.inFlightUpTo(admission.Ranks-1), i.load.InFlight+i.load.Queued))
}

// inFlightUpTo returns how many attempts of the given rank and of more urgent ranks this sender has in flight.
func (i *Instance) inFlightUpTo(rank int) int {
	count := 0
	for _, inFlight := range i.inFlight[:rank+1] {
		count += inFlight
	}
	return count
}

// minSlowStartFraction is the fraction of its full capacity from which a new instance ramps up.
const minSlowStartFraction = 0.1

// capacity returns the in-flight limit that the instance reported, or its slots if it reported none. It is scaled
// down during the slow start.
func (i *Instance) capacity(now time.Time) float64 {
	full := float64(max(i.Member.Slots, 1))
	if i.load.Limit > 0 {
		full = float64(i.load.Limit)
	}
	age := now.Sub(i.joinedAt)
	if i.joinedAt.IsZero() || age >= i.config.SlowStart {
		return full
	}
	return full * max(minSlowStartFraction, float64(age)/float64(i.config.SlowStart))
}

// averageLatency returns the average latency of requests of the same kind and rank; 0 without samples.
func (i *Instance) averageLatency(r Request) time.Duration {
	return i.latencies.byClass[requestClass{rank: r.Rank, kind: r.Kind}].average
}

// minLatency is the lowest latency used in comparisons. Without it, very fast instances would all have a cost near 0,
// whatever their load.
const minLatency = 100 * time.Microsecond

// penalizedLatency returns the decayed latency plus the penalty for errors. Because both decay, an instance that was
// slow or failing is tried again.
func (i *Instance) penalizedLatency(now time.Time, l latency) float64 {
	return max(float64(l.peakAverage)*i.decay(now, l.updatedAt), float64(minLatency)) + i.errorPenalty(now)
}

// errorPenalty returns the latency that is added for the error rate.
func (i *Instance) errorPenalty(now time.Time) float64 {
	return i.errorRate(now) * float64(i.config.FailureCost)
}

// penalty raises the expected time at an instance of another availability zone: the time is multiplied by factor,
// then extra is added.
type penalty struct {
	factor float64
	extra  time.Duration
}

// noPenalty leaves the expected time unchanged.
var noPenalty = penalty{factor: 1}

// apply returns the expected time with the penalty.
func (p penalty) apply(time float64) float64 {
	return p.factor*time + float64(p.extra)
}

// isCheaper reports whether the expected time until the reply to the request, with the penalty, is lower than that of the
// other instance. If the two have no latencies that can be compared, both count with the same latency, and only
// errors and the number of requests ahead decide.
func (i *Instance) isCheaper(now time.Time, r Request, other *Instance, p penalty) bool {
	ownLoad := (i.requestsAhead(r.Rank) + 1) / i.capacity(now)
	otherLoad := (other.requestsAhead(r.Rank) + 1) / other.capacity(now)
	class := requestClass{rank: r.Rank, kind: r.Kind}
	if a, b, ok := i.latencies.comparablePair(now, class, i.config.TimeConstant, &other.latencies); ok {
		return p.apply(ownLoad*i.penalizedLatency(now, a)) < otherLoad*other.penalizedLatency(now, b)
	}
	assumed := float64(max(i.latencies.latest(), other.latencies.latest(), minLatency))
	return p.apply(ownLoad*(assumed+i.errorPenalty(now))) < otherLoad*(assumed+other.errorPenalty(now))
}
