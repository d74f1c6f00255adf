package throttle

import "time"

const (
	// ratioDecrease and ratioIncrease are the factors by which one refused and one accepted request change the admitted
	// ratio. They balance at about one refusal downstream for every six accepted requests, regardless of the number of nodes.
	ratioDecrease = 0.7
	ratioIncrease = 1.06
	// ratioDoublingTime is the time without a refused request in which the ratio doubles.
	ratioDoublingTime = time.Second
	// minRatio is the lower limit of the ratio.
	minRatio = 0.1
)

// admissionRatio decides for a node that receives few requests. Nodes that don't communicate can't measure the accepted rate
// with one or two requests in a time constant each, but each node can learn which fraction of its own requests is accepted.
type admissionRatio struct {
	// refused is 1 minus the admitted ratio, so that the zero value admits everything.
	refused float64
	// quietSince is the time of the last refused request or of the last doubling.
	quietSince time.Time
}

// value returns the ratio of requests to admit.
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

// observe records the result of an admitted request.
func (s *admissionRatio) observe(now time.Time, r Result) {
	switch r {
	case Accepted:
		s.set(s.value(now) * ratioIncrease)
	case Refused:
		s.set(s.value(now) * ratioDecrease)
		s.quietSince = now
	}
}
