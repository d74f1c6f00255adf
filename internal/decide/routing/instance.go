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
	// Bounded means that as many requests of the kind run as may, because their calls wait further down.
	Bounded
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
	Result Result
	Took   time.Duration
	Kind   string
	// Rank of the request. Where it was shed, requests of this rank and of less urgent ones are.
	Rank int
	// AllShed says that the instance takes requests of no rank.
	AllShed bool
	// Reason names what failed, for the dump.
	Reason string
	// Bytes is how many the request and its reply came to, and FarBytesBelow how many the calls down its chain sent between
	// availability zones.
	Bytes, FarBytesBelow int64
	// Load is as reported; a Limit of 0 says that there was no report.
	Load Load
}

// Instance is what the sender knows of one instance.
type Instance struct {
	Member Member
	// Lost says that the instance gives no answer. It gets requests only where all others are ejected.
	Lost bool

	config   *Config
	inFlight [admission.Ranks]int
	load     Load
	// joined is when the instance became known, after the others; zero for those known from the start.
	joined time.Time

	latencies latencies
	// sizes are the bytes of requests with their answers, whichever instance answers. farBelow is how many bytes the calls of those
	// that this one runs send between availability zones, and farShare the part of them whose calls send any.
	sizes    *kindMeans
	farBelow kindMeans
	farShare kindMeans
	errors   float64
	errorsAt time.Time

	failures     int
	ejectedUntil time.Time
	ejection     Ejection
	// boundedUntil is for how long a refusal says that requests of the kind are bounded.
	boundedUntil map[string]time.Time
	lastShed     ShedEvidence
	sheddingRank int
	shedUntil    time.Time
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
	if s.Result != Shed && s.Result != Bounded {
		i.sizes.learn(now, s.Kind, float64(s.Bytes))
		i.farBelow.learn(now, s.Kind, float64(s.FarBytesBelow))
		i.farShare.learn(now, s.Kind, sharePart(s.FarBytesBelow))
	}
	switch s.Result {
	case Good:
		i.failures = 0
		i.learnError(now, 0)
		i.latencies.learn(now, work{rank: s.Rank, kind: s.Kind}, s.Took, i.config.Fade)
	case Failed:
		i.failures++
		i.learnError(now, 1)
		if i.failures >= i.config.Failures || i.Member.Unconfirmed {
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
		i.lastShed = ShedEvidence{Reason: ShedReply, Told: s.Reason, At: now}
	case Bounded:
		i.noteBounded(now, s.Kind)
	}
}

func (i *Instance) noteBounded(now time.Time, kind string) {
	if i.boundedUntil == nil || len(i.boundedUntil) >= maxKinds {
		i.boundedUntil = map[string]time.Time{}
	}
	i.boundedUntil[kind] = now.Add(i.config.BoundedTime)
}

// isBounded reports whether the instance lately refused the request's kind because calls wait further down.
func (i *Instance) isBounded(now time.Time, r Request) bool {
	return !r.IsCall && now.Before(i.boundedUntil[r.Kind])
}

// takesWork reports whether the instance answers and takes requests of some rank.
func (i *Instance) takesWork(now time.Time) bool {
	return !i.Lost && !i.isEjected(now) && !i.sheds(now, 0)
}

// sharePart is what a request adds to the part of those whose calls cross between availability zones.
func sharePart(farBytesBelow int64) float64 {
	if farBytesBelow > 0 {
		return 1
	}
	return 0
}

func (i *Instance) ejectionTime() time.Duration {
	if i.Member.Unconfirmed {
		return i.config.UnconfirmedEjection
	}
	return i.config.EjectionTime
}

// errorWeight is the least weight of one reply in the error rate.
const errorWeight = 0.1

func (i *Instance) learnError(now time.Time, value float64) {
	weight := max(errorWeight, 1-i.fade(now, i.errorsAt))
	i.errors += weight * (value - i.errors)
	i.errorsAt = now
}

// fade is the part that is left of something learned then.
func (i *Instance) fade(now, then time.Time) float64 {
	return math.Exp(-float64(now.Sub(then)) / float64(i.config.Fade))
}

func (i *Instance) isEjected(now time.Time) bool {
	return now.Before(i.ejectedUntil)
}

// failingFrom is the error rate from which an instance loses the preference of its zone.
const failingFrom = 0.5

func (i *Instance) isFailing(now time.Time) bool {
	return i.errorRate(now) >= failingFrom
}

// errorRate is the part of the replies that were failures; what is long past counts less.
func (i *Instance) errorRate(now time.Time) float64 {
	if i.errors == 0 {
		return 0
	}
	return i.errors * i.fade(now, i.errorsAt)
}

func (i *Instance) sheds(now time.Time, rank int) bool {
	return now.Before(i.shedUntil) && rank >= i.sheddingRank
}

// ahead is how many requests the instance has ahead of one of the rank, as far as known. While the instance sheds less
// urgent ones, those are what waits there, and they let the request pass; then only what this sender has on its way of
// the rank and of more urgent ones tells how many don't.
func (i *Instance) ahead(rank int) float64 {
	if rank < i.load.SheddingRank {
		return float64(i.load.InFlight + i.onTheWay(rank))
	}
	return float64(max(i.onTheWay(admission.Ranks-1), i.load.InFlight+i.load.Queued))
}

// onTheWay counts this sender's attempts of the rank and of more urgent ones.
func (i *Instance) onTheWay(rank int) int {
	count := 0
	for _, inFlight := range i.inFlight[:rank+1] {
		count += inFlight
	}
	return count
}

// leastWarm is the part of its capacity that counts for an instance that has just joined.
const leastWarm = 0.1

// capacity is the limit that the instance reported, else its slots, less while it is new.
func (i *Instance) capacity(now time.Time) float64 {
	whole := float64(max(i.Member.Slots, 1))
	if i.load.Limit > 0 {
		whole = float64(i.load.Limit)
	}
	age := now.Sub(i.joined)
	if i.joined.IsZero() || age >= i.config.SlowStart {
		return whole
	}
	return whole * max(leastWarm, float64(age)/float64(i.config.SlowStart))
}

// mean returns how long requests of the kind and rank took on average; 0 where none was answered.
func (i *Instance) mean(r Request) time.Duration {
	return i.latencies.byWork[work{rank: r.Rank, kind: r.Kind}].mean
}

// minLatency keeps the cost of very quick instances apart.
const minLatency = 100 * time.Microsecond

// delay is the latency, with errors counted as slowness. What is long past counts less, so that an instance that was
// slow or failed is tried again.
func (i *Instance) delay(now time.Time, l latency) float64 {
	return max(float64(l.value)*i.fade(now, l.at), float64(minLatency)) + i.failing(now)
}

// failing is the latency that the errors count as.
func (i *Instance) failing(now time.Time) float64 {
	return i.errorRate(now) * float64(i.config.FailureCost)
}

// markup is what makes the time at an instance of another availability zone count for more: a factor, and a fixed time.
type markup struct {
	factor float64
	extra  time.Duration
}

// noMarkup takes the time as it is.
var noMarkup = markup{factor: 1}

// of returns the time with the markup.
func (m markup) of(time float64) float64 {
	return m.factor*time + float64(m.extra)
}

// isCheaper compares the time in which the request is expected to be answered, the own one with the markup. While no
// latencies of both can be compared, they count as equal, and only errors and the requests ahead make the difference.
func (i *Instance) isCheaper(now time.Time, r Request, other *Instance, m markup) bool {
	own := (i.ahead(r.Rank) + 1) / i.capacity(now)
	others := (other.ahead(r.Rank) + 1) / other.capacity(now)
	w := work{rank: r.Rank, kind: r.Kind}
	if a, b, ok := i.latencies.common(now, w, i.config.Fade, &other.latencies); ok {
		return m.of(own*i.delay(now, a)) < others*other.delay(now, b)
	}
	same := float64(max(i.latencies.last(), other.latencies.last(), minLatency))
	return m.of(own*(same+i.failing(now))) < others*(same+other.failing(now))
}
