package throttle

import "time"

const (
	// ratioDecrease and sparseUp are the factors by which one refused and one accepted request change the part that is admitted.
	// Where they balance, a sixth of what all nodes admit together is refused further down, however many nodes there are.
	ratioDecrease = 0.7
	ratioIncrease = 1.06
	// ratioDoublingTime is the time without a refused request in which the part doubles.
	ratioDoublingTime = time.Second
	// minRatio bounds the part below.
	minRatio = 0.1
)

// admissionRatio decides for a node that sees few requests. Nodes that don't talk can't tell the rate that is accepted from one or
// two requests in a window each, but each can learn which part of its own is.
type admissionRatio struct {
	// refused is one less the part of the requests that is admitted, so that the zero value admits all.
	refused float64
	// quietSince is when a request was refused last, or the part last doubled.
	quietSince time.Time
}

// value returns the part of the requests that is admitted.
func (s *admissionRatio) value(now time.Time) float64 {
	for s.refused > 0 && now.Sub(s.quietSince) >= ratioDoublingTime {
		s.quietSince = s.quietSince.Add(ratioDoublingTime)
		s.set(2 * (1 - s.refused))
	}
	return 1 - s.refused
}

func (s *admissionRatio) set(ratio float64) {
	s.refused = 1 - min(max(ratio, minRatio), 1)
}

// observe takes in what became of an admitted request.
func (s *admissionRatio) observe(now time.Time, r Result) {
	switch r {
	case Accepted:
		s.set(s.value(now) * ratioIncrease)
	case Refused:
		s.set(s.value(now) * ratioDecrease)
		s.quietSince = now
	}
}
