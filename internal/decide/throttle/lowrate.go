package throttle

import "time"

const (
	// ratioDecrease and ratioIncrease are the factors by which one refused and one accepted request change the admitted
	// ratio. Apart from the doubling after ratioDoublingTime, they balance at about one refusal downstream for every six
	// accepted requests, regardless of the number of nodes.
	ratioDecrease = 0.7
	ratioIncrease = 1.06
	// ratioDoublingTime is the time without a refused request in which the ratio doubles.
	ratioDoublingTime = time.Second
	// minRatio is the lower limit of the ratio.
	minRatio = 0.1
)

// admissionRatio decides for a node that receives few requests. Nodes that don't communicate can't measure the accepted
// rate when each of them receives one or two requests in a time constant, but each node can learn which fraction of its
// own requests is accepted.
type admissionRatio struct {
	// refused is 1 minus the admitted ratio, so that the zero value admits everything.
	refused float64
	// quietSince is the time of the last refused request or of the last doubling, whichever is later.
	quietSince time.Time
}

// value returns the ratio of requests to admit.
func (a *admissionRatio) value(now time.Time) float64 {
	for a.refused > 0 && now.Sub(a.quietSince) >= ratioDoublingTime {
		a.quietSince = a.quietSince.Add(ratioDoublingTime)
		a.set(2 * (1 - a.refused))
	}
	return 1 - a.refused
}

func (a *admissionRatio) set(ratio float64) {
	a.refused = 1 - min(max(ratio, minRatio), 1)
}

// observe records the result of an admitted request.
func (a *admissionRatio) observe(now time.Time, r Result) {
	switch r {
	case Accepted:
		a.set(a.value(now) * ratioIncrease)
	case Refused:
		a.set(a.value(now) * ratioDecrease)
		a.quietSince = now
	}
}
