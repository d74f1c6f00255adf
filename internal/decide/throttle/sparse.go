package throttle

import "time"

const (
	// sparseDown and sparseUp are the factors by which one refused and one accepted request change the part that is admitted.
	// Where they balance, a sixth of what all nodes admit together is refused further down, however many nodes there are.
	sparseDown = 0.7
	sparseUp   = 1.06
	// sparseRest is the time without a refused request in which the part doubles.
	sparseRest = time.Second
	// sparseLeast bounds the part below.
	sparseLeast = 0.1
)

// sparse decides for a node that sees few requests. Nodes that don't talk can't tell the rate that is accepted from one or
// two requests in a window each, but each can learn which part of its own is.
type sparse struct {
	// refused is one less the part of the requests that is admitted, so that the zero value admits all.
	refused float64
	// quietSince is when a request was refused last, or the part last doubled.
	quietSince time.Time
}

// part returns the part of the requests that is admitted.
func (s *sparse) part(now time.Time) float64 {
	for s.refused > 0 && now.Sub(s.quietSince) >= sparseRest {
		s.quietSince = s.quietSince.Add(sparseRest)
		s.set(2 * (1 - s.refused))
	}
	return 1 - s.refused
}

func (s *sparse) set(part float64) {
	s.refused = 1 - min(max(part, sparseLeast), 1)
}

// learn takes in what became of an admitted request.
func (s *sparse) learn(now time.Time, r Result) {
	switch r {
	case Accepted:
		s.set(s.part(now) * sparseUp)
	case Refused:
		s.set(s.part(now) * sparseDown)
		s.quietSince = now
	}
}
