// Package routing chooses which instance of a service gets a request.
//
// It takes two candidates at random and sends to the one that is expected to answer sooner, judged by the sender's
// own requests in flight, the latency that it saw, and the capacity that the instance reported with its replies.
// Instances of the sender's own availability zone go first.
//
// # Usage
//
//	chosen, ok := routing.Choose(random, candidates, routing.Policy{Zone: "lisbon_1"})
//
// The package does no I/O and reads no clock: the random source and the observations are arguments.
package routing

import "time"

// Source gives random numbers.
type Source interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// Candidate is one instance and what the sender knows of it.
type Candidate struct {
	Node string
	Zone string
	// InFlight is how many of the sender's own requests the instance holds.
	InFlight int
	// Latency is the sender's own peak-weighted mean.
	Latency time.Duration
	// Capacity is the limit that the instance last reported; 0 if it has not.
	Capacity int
	// Reported is how many requests the instance last reported in flight and queued.
	Reported int
	// Ejected says that the sender lately saw it fail.
	Ejected bool
	// Shedding says that the instance lately shed requests of this rank.
	Shedding bool
}

// Policy varies the choice.
type Policy struct {
	// Zone is preferred while an instance there isn't ejected or shedding.
	Zone string
	// Tried are nodes that already refused this request.
	Tried []string
}

// Choose picks a candidate. It reports false only where there is none that was not tried.
func Choose(random Source, candidates []Candidate, p Policy) (Candidate, bool) {
	untried := filter(candidates, func(c Candidate) bool { return !contains(p.Tried, c.Node) })
	if len(untried) == 0 {
		return Candidate{}, false
	}
	pool := preferred(untried, p.Zone)
	a := pool[random.IntN(len(pool))]
	b := pool[random.IntN(len(pool))]
	if cost(b) < cost(a) {
		return b, true
	}
	return a, true
}

// preferred narrows the candidates as far as some are left: first the healthy ones near, then the healthy ones,
// then all.
func preferred(candidates []Candidate, zone string) []Candidate {
	healthy := filter(candidates, func(c Candidate) bool { return !c.Ejected && !c.Shedding })
	near := filter(healthy, func(c Candidate) bool { return c.Zone == zone })
	if len(near) > 0 {
		return near
	}
	if len(healthy) > 0 {
		return healthy
	}
	alive := filter(candidates, func(c Candidate) bool { return !c.Ejected })
	if len(alive) > 0 {
		return alive
	}
	return candidates
}

// cost is the expected time to answer: the requests ahead, over the capacity, times the latency.
func cost(c Candidate) float64 {
	ahead := float64(max(c.InFlight, c.Reported) + 1)
	capacity := float64(max(c.Capacity, 1))
	return ahead / capacity * float64(max(c.Latency, minLatency))
}

const minLatency = 100 * time.Microsecond

func filter(candidates []Candidate, keep func(Candidate) bool) []Candidate {
	var kept []Candidate
	for _, c := range candidates {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
