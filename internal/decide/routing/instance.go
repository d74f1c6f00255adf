package routing

import (
	"math"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// Result is what a reply says about the instance that gave it.
type Result int

// The results.
const (
	// Neutral says nothing, as when the caller went away or a call further down failed.
	Neutral Result = iota
	// Good is an answer of the backend server.
	Good
	// Failed is a server error, a broken connection or silence.
	Failed
	// Shed means that requests of this rank and of less urgent ones are refused.
	Shed
	// KindLimited means that as many requests of the kind run as may, because their calls wait further down.
	KindLimited
)

// Load is what an instance reports about itself. It lags.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
	// SheddingRank is the most urgent rank that it sheds; 0 for none.
	SheddingRank int
}

// Sample is what one attempt showed.
type Sample struct {
	Result  Result
	Latency time.Duration
	Kind    string
	// Rank of the request. Where it was shed, requests of this rank and of less urgent ones are.
	Rank int
	// AllShed says that the instance takes requests of no rank.
	AllShed bool
	// Reason names what failed, for the dump.
	Reason string
	// Bytes is how many the request and its reply came to, and FarBytesBelow how many the calls down its chain sent between
	// availability zones.
	Bytes, DownstreamCrossZoneBytes int64
	// Load is as reported; a Limit of 0 says that there was no report.
	Load Load
}

// Instance is what the sender knows of one instance.
type Instance struct {
	Member Member
	// Unreachable says that the instance gives no answer. It gets requests only where all others are ejected.
	Unreachable bool

	config   *Config
	inFlight [admission.Ranks]int
	load     Load
	// joinedAt is when the instance became known, after the others; zero for those known from the start.
	joinedAt time.Time

	latencies latencies
	// sizes are the bytes of requests with their answers, whichever instance answers. farBelow is how many bytes the calls of those
	// that this one runs send between availability zones, and farShare the part of them whose calls send any.
	sizes             *kindAverages
	crossZoneBytes    kindAverages
	crossZoneFraction kindAverages
	errorAverage      float64
	errorUpdatedAt    time.Time

	failures     int
	ejectedUntil time.Time
	ejection     Ejection
	// kindLimitedUntil is for how long a refusal says that requests of the kind are bounded.
	kindLimitedUntil map[string]time.Time
	lastShed         ShedEvidence
	sheddingRank     int
	shedUntil        time.Time
}

// Begin counts an attempt of the rank on its way.
func (i *Instance) Begin(rank int) {
	i.inFlight[rank]++
}

// End takes in what an attempt showed.
func (i *Instance) End(now time.Time, s Sample) {
	i.inFlight[s.Rank] = max(i.inFlight[s.Rank]-1, 0) // the attempt may have begun before the instance left and came back
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
			i.ejection = Ejection{Reason: FailuresInARow, Failures: i.failures, LastFailure: s.Reason, At: now}
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

// isKindLimited reports whether the instance lately refused the request's kind because calls wait further down.
func (i *Instance) isKindLimited(now time.Time, r Request) bool {
	return !r.IsCall && now.Before(i.kindLimitedUntil[r.Kind])
}

// acceptsRequests reports whether the instance answers and takes requests of some rank.
func (i *Instance) acceptsRequests(now time.Time) bool {
	return !i.Unreachable && !i.isEjected(now) && !i.sheds(now, 0)
}

// crossZoneIndicator is what a request adds to the part of those whose calls cross between availability zones.
func crossZoneIndicator(farBytesBelow int64) float64 {
	if farBytesBelow > 0 {
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

// minErrorWeight is the least weight of one reply in the error rate.
const minErrorWeight = 0.1

func (i *Instance) observeError(now time.Time, value float64) {
	weight := max(minErrorWeight, 1-i.decay(now, i.errorUpdatedAt))
	i.errorAverage += weight * (value - i.errorAverage)
	i.errorUpdatedAt = now
}

// decay is the part that is left of something learned then.
func (i *Instance) decay(now, then time.Time) float64 {
	return math.Exp(-float64(now.Sub(then)) / float64(i.config.TimeConstant))
}

func (i *Instance) isEjected(now time.Time) bool {
	return now.Before(i.ejectedUntil)
}

// failingErrorRate is the error rate from which an instance loses the preference of its zone.
const failingErrorRate = 0.5

func (i *Instance) isFailing(now time.Time) bool {
	return i.errorRate(now) >= failingErrorRate
}

// errorRate is the part of the replies that were failures; what is long past counts less.
func (i *Instance) errorRate(now time.Time) float64 {
	if i.errorAverage == 0 {
		return 0
	}
	return i.errorAverage * i.decay(now, i.errorUpdatedAt)
}

func (i *Instance) sheds(now time.Time, rank int) bool {
	return now.Before(i.shedUntil) && rank >= i.sheddingRank
}

// requestsAhead is how many requests the instance has ahead of one of the rank, as far as known. While the instance sheds less
// urgent ones, those are what waits there, and they let the request pass; then only what this sender has on its way of
// the rank and of more urgent ones tells how many don't.
func (i *Instance) requestsAhead(rank int) float64 {
	if rank < i.load.SheddingRank {
		return float64(i.load.InFlight + i.inFlightUpTo(rank))
	}
	return float64(max(i.inFlightUpTo(admission.Ranks-1), i.load.InFlight+i.load.Queued))
}

// inFlightUpTo counts this sender's attempts of the rank and of more urgent ones.
func (i *Instance) inFlightUpTo(rank int) int {
	count := 0
	for _, inFlight := range i.inFlight[:rank+1] {
		count += inFlight
	}
	return count
}

// minSlowStartFraction is the part of its capacity that counts for an instance that has just joined.
const minSlowStartFraction = 0.1

// capacity is the limit that the instance reported, else its slots, less while it is new.
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

// averageLatency returns how long requests of the kind and rank took on average; 0 where none was answered.
func (i *Instance) averageLatency(r Request) time.Duration {
	return i.latencies.byClass[requestClass{rank: r.Rank, kind: r.Kind}].average
}

// minLatency keeps the cost of very quick instances apart.
const minLatency = 100 * time.Microsecond

// penalizedLatency is the latency, with errors counted as slowness. What is long past counts less, so that an instance that was
// slow or failed is tried again.
func (i *Instance) penalizedLatency(now time.Time, l latency) float64 {
	return max(float64(l.peakAverage)*i.decay(now, l.updatedAt), float64(minLatency)) + i.errorPenalty(now)
}

// errorPenalty is the latency that the errors count as.
func (i *Instance) errorPenalty(now time.Time) float64 {
	return i.errorRate(now) * float64(i.config.FailureCost)
}

// penalty is what makes the time at an instance of another availability zone count for more: a factor, and a fixed time.
type penalty struct {
	factor float64
	extra  time.Duration
}

// noPenalty takes the time as it is.
var noPenalty = penalty{factor: 1}

// apply returns the time with the markup.
func (p penalty) apply(time float64) float64 {
	return p.factor*time + float64(p.extra)
}

// isCheaper compares the time in which the request is expected to be answered, the own one with the markup. While no
// latencies of both can be compared, they count as equal, and only errors and the requests ahead make the difference.
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
