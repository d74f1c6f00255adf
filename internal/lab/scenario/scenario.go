// Package scenario runs overload experiments: a deployment under its ordinary load, a trigger that overloads it, and
// the time after the trigger, with the product, an earlier build of it, or the naive baseline.
//
// # Usage
//
//	result, err := scenario.Run(ctx, scenario.Config{Deployment: d, Scenario: s, Variant: v, Seed: 1})
//
// The Result gives goodput before, during and after the trigger, the time to recover, and what was wasted.
package scenario

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

// Phase times of every scenario.
const (
	// DurationBefore is the ordinary load before the trigger.
	DurationBefore = 6 * time.Second
	// TriggerDuration is how long a trigger lasts.
	TriggerDuration = 8 * time.Second
	// DurationAfter is the ordinary load after the last trigger.
	DurationAfter = 12 * time.Second
	// TriggerInterval is the pause between two triggers in a row.
	TriggerInterval = 4 * time.Second
	// settleTime is left out at the start of each phase's figures.
	settleTime = 2 * time.Second
)

// Trigger is what overloads a deployment for a time.
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

// Scenario is a trigger, once or twice, with callers that send again or don't.
type Scenario struct {
	Name string
	Text string
	// Triggers follow each other with a pause between them.
	Triggers []Trigger
	// Resends is how often every caller sends a failed request again at once.
	Resends int
}

// Scenarios are all experiments, in the order of the report.
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

// Find returns the scenario of the name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// span is a stretch of a run.
type span struct {
	start time.Duration
	end   time.Duration
}

// spans returns when each trigger is on.
func (s Scenario) spans() []span {
	var spans []span
	start := DurationBefore
	for range s.Triggers {
		spans = append(spans, span{start, start + TriggerDuration})
		start += TriggerDuration + TriggerInterval
	}
	return spans
}

// Duration returns the length of the whole run.
func (s Scenario) Duration() time.Duration {
	spans := s.spans()
	return spans[len(spans)-1].end + DurationAfter
}

// streams returns the ordinary load and what each trigger adds to it.
func (s Scenario) streams(d Deployment) []load.Stream {
	var streams []load.Stream
	for _, o := range d.Streams {
		o.Resends = s.Resends
		streams = append(streams, o)
		for i, t := range s.Triggers {
			if ratio := t.addedRatio(d, o); ratio > 0 {
				added := o
				added.Rate = o.Rate * ratio
				added.Start, added.Stop = s.spans()[i].start, s.spans()[i].end
				added.Added = true
				streams = append(streams, added)
			}
		}
	}
	return streams
}

// addedRatio returns how many times its ordinary rate the trigger adds to a stream.
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
