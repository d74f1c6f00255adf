// Package scenario runs overload experiments: a deployment under its ordinary load, a trigger that overloads it, and
// the time after the trigger. The system under test is the current build of comfreyhoist, an earlier build, or the
// baseline balancer.
//
// # Usage
//
//	result, err := scenario.Run(ctx, scenario.Config{Deployment: d, Scenario: s, Variant: v, Seed: 1})
//
// The Result gives the goodput before, during and after the trigger, the recovery time, and the wasted work.
package scenario

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

// Durations of the phases of every scenario.
const (
	// DurationBefore is the time of ordinary load before the first trigger.
	DurationBefore = 6 * time.Second
	// TriggerDuration is the duration of a trigger.
	TriggerDuration = 8 * time.Second
	// DurationAfter is the time of ordinary load after the last trigger.
	DurationAfter = 12 * time.Second
	// TriggerPause is the time between the end of a trigger and the start of the next.
	TriggerPause = 4 * time.Second
	// settleTime is left out at the start of a phase when its figures are computed.
	settleTime = 2 * time.Second
)

// Trigger overloads a deployment for a limited time.
type Trigger struct {
	// Flood multiplies the rate of the least urgent stream.
	Flood float64
	// UrgentFlood multiplies the rate of the most urgent stream.
	UrgentFlood float64
	// Surge multiplies the rate of all streams.
	Surge float64
	// Slowdown multiplies the service time of the deep service.
	Slowdown float64
}

// Scenario is a sequence of one or two triggers, with callers that may resend failed requests.
type Scenario struct {
	Name string
	Text string
	// Triggers run one after the other, TriggerPause apart.
	Triggers []Trigger
	// Resends is how often every caller resends a failed request immediately.
	Resends int
}

// Scenarios lists all scenarios in the order of the report.
var Scenarios = []Scenario{
	{
		Name:     "flood_least",
		Text:     "a flood of the least urgent work",
		Triggers: []Trigger{{Flood: 25}},
		Resends:  1,
	},
	{
		Name:     "flood_most",
		Text:     "a flood of the most urgent work",
		Triggers: []Trigger{{UrgentFlood: 10}},
		Resends:  1,
	},
	{
		Name:     "slow_deep",
		Text:     "the deep service slows down while demand surges and callers retry hard",
		Triggers: []Trigger{{Slowdown: 4, Surge: 1.5}},
		Resends:  3,
	},
	{
		Name:     "both_together",
		Text:     "the deep service slows down during a flood of the least urgent work",
		Triggers: []Trigger{{Slowdown: 3, Flood: 15}},
		Resends:  3,
	},
	{
		Name:     "twice",
		Text:     "the deep service slows down twice in a row",
		Triggers: []Trigger{{Slowdown: 4, Surge: 1.5}, {Slowdown: 4, Surge: 1.5}},
		Resends:  3,
	},
}

// Find returns the scenario with the name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// span is a time interval, relative to the start of a run.
type span struct {
	start time.Duration
	end   time.Duration
}

// spans returns the time interval of each trigger.
func (s Scenario) spans() []span {
	var spans []span
	start := DurationBefore
	for range s.Triggers {
		spans = append(spans, span{start, start + TriggerDuration})
		start += TriggerDuration + TriggerPause
	}
	return spans
}

// Duration returns the duration of the whole run.
func (s Scenario) Duration() time.Duration {
	spans := s.spans()
	return spans[len(spans)-1].end + DurationAfter
}

// streams returns the ordinary load and the load that each trigger adds.
func (s Scenario) streams(d Deployment) []load.Stream {
	var streams []load.Stream
	for _, ordinary := range d.Streams {
		ordinary.Resends = s.Resends
		streams = append(streams, ordinary)
		for i, t := range s.Triggers {
			if ratio := t.addedRatio(d, ordinary); ratio > 0 {
				added := ordinary
				added.Rate = ordinary.Rate * ratio
				added.Start, added.Stop = s.spans()[i].start, s.spans()[i].end
				added.Added = true
				streams = append(streams, added)
			}
		}
	}
	return streams
}

// addedRatio returns the rate that the trigger adds to a stream, as a multiple of the stream's ordinary rate.
func (t Trigger) addedRatio(d Deployment, s load.Stream) float64 {
	factor := max(t.Surge, 1)
	if s.Name == d.LeastUrgent {
		factor *= max(t.Flood, 1)
	}
	if s.Name == d.MostUrgent {
		factor *= max(t.UrgentFlood, 1)
	}
	return factor - 1
}
