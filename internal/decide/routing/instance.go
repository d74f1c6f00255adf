package routing

import (
	"math"
	"time"
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
)

// Load is what an instance reports about itself. It lags.
type Load struct {
	InFlight int
	Queued   int
	Limit    int
}

// Sample is what one attempt showed.
type Sample struct {
	Result Result
	Took   time.Duration
	// Rank of the request that was shed.
	Rank int
	// Reason names what failed, for the dump.
	Reason string
	// Load is as reported; a Limit of 0 says that there was no report.
	Load Load
}

// Instance is what the sender knows of one instance.
type Instance struct {
	Member Member

	config   *Config
	inFlight int
	load     Load
	// joined is when the instance became known, after the others; zero for those known from the start.
	joined time.Time

	latency   time.Duration
	latencyAt time.Time
	errors    float64
	errorsAt  time.Time

	failures     int
	ejectedUntil time.Time
	ejection     Ejection
	lastShed     ShedEvidence
	sheddingRank int
	shedUntil    time.Time
}

// Begin counts an attempt on its way.
func (i *Instance) Begin() {
	i.inFlight++
}

// End takes in what an attempt showed.
func (i *Instance) End(now time.Time, s Sample) {
	i.inFlight = max(i.inFlight-1, 0) // the attempt may have begun before the instance left and came back
	if s.Load.Limit > 0 {
		i.load = s.Load
	}
	switch s.Result {
	case Good:
		i.failures = 0
		i.learnError(now, 0)
		i.learnLatency(now, s.Took)
	case Failed:
		i.failures++
		i.learnError(now, 1)
		if i.failures >= i.config.Failures {
			i.ejectedUntil = now.Add(i.config.EjectionTime)
			i.ejection = Ejection{Reason: FailuresInARow, Failures: i.failures, LastFailure: s.Reason, At: now}
		}
	case Shed:
		i.sheddingRank = s.Rank
		i.shedUntil = now.Add(i.config.SheddingTime)
		i.lastShed = ShedEvidence{Reason: ShedReply, Told: s.Reason, At: now}
	}
}

// errorWeight is the least weight of one reply in the error rate.
const errorWeight = 0.1

func (i *Instance) learnError(now time.Time, value float64) {
	weight := max(errorWeight, 1-i.fade(now, i.errorsAt))
	i.errors += weight * (value - i.errors)
	i.errorsAt = now
}

// learnLatency takes a peak at once and forgets it with time.
func (i *Instance) learnLatency(now time.Time, took time.Duration) {
	if took >= i.latency {
		i.latency = took
	} else {
		kept := i.fade(now, i.latencyAt)
		i.latency = time.Duration(kept*float64(i.latency) + (1-kept)*float64(took))
	}
	i.latencyAt = now
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

// ahead is how many requests the instance has, as far as known.
func (i *Instance) ahead() float64 {
	return float64(max(i.inFlight, i.load.InFlight+i.load.Queued))
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

// minLatency keeps the cost of very quick instances apart.
const minLatency = 100 * time.Microsecond

// delay is the latency, with errors counted as slowness. What is long past counts less, so that an instance that
// was slow or failed is tried again.
func (i *Instance) delay(now time.Time) float64 {
	latency := float64(i.latency) * i.fade(now, i.latencyAt)
	failing := i.errorRate(now) * float64(i.config.FailureCost)
	return max(latency, float64(minLatency)) + failing
}

// isCheaper compares the time in which a request is expected to be answered. While there is no latency of one of
// the two, only their errors and the requests ahead count.
func (i *Instance) isCheaper(now time.Time, other *Instance) bool {
	own := (i.ahead() + 1) / i.capacity(now)
	others := (other.ahead() + 1) / other.capacity(now)
	if i.latency > 0 && other.latency > 0 || i.errors > 0 || other.errors > 0 {
		own *= i.delay(now)
		others *= other.delay(now)
	}
	return own < others
}
