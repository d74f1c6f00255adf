package load

import "time"

// Punctuality tells whether a load was sent as described. A generator that gets too little processor time sends late, and
// then what its callers see says little about the system that they call.
type Punctuality struct {
	// Requests is the number of requests, Late that of those first sent MaxLateness or more after they were due, and Unsent
	// that of those for which there was no connection.
	Requests, Late, Unsent int
	// OnTimeRate is the number of requests a second that were sent on time in the busiest second.
	OnTimeRate int
}

const (
	// MaxLateness is how late a request may be sent to count as sent on time.
	MaxLateness = 20 * time.Millisecond
	// maxLateRatio is the fraction of requests sent late, or not at all, up to which the load counts as sent as described.
	maxLateRatio = 0.01
)

// MeasurePunctuality returns the punctuality of a load with these results.
func MeasurePunctuality(results []Result) Punctuality {
	p := Punctuality{Requests: len(results)}
	onTime := map[time.Duration]int{}
	for _, r := range results {
		switch {
		case r.Reason == NoConnection:
			p.Unsent++
		case r.Lateness >= MaxLateness:
			p.Late++
		default:
			second := r.Sent / time.Second
			onTime[second]++
			p.OnTimeRate = max(p.OnTimeRate, onTime[second])
		}
	}
	return p
}

// IsSufficient reports whether nearly all requests were sent when they were due.
func (p Punctuality) IsSufficient() bool {
	return float64(p.Late+p.Unsent) <= maxLateRatio*float64(p.Requests)
}
