package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// TestQueueOrder checks the order in which queued requests get slots when the calls of many admitted root requests
// queue at the deepest service. These calls are ordered by the age of their root request regardless of its caller, so
// that the oldest root request finishes first. Root requests alternate between their callers.
func TestQueueOrder(t *testing.T) {
	start := time.Now()
	for name, test := range map[string]struct {
		depth int
		want  []string
	}{
		"calls":         {1, []string{"first", "second", "third"}},
		"root requests": {0, []string{"first", "third", "second"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate := admission.NewGate(admission.GateConfig{
				Limit:        admission.LimitConfig{Initial: 1, Min: 1, Max: 1, Fixed: true},
				QueuePerSlot: 10, MaxDelayLeastUrgent: time.Second, MaxDelayMostUrgent: time.Second, MaxRetryAfter: time.Second,
			})
			gate.Announce(1, 1)
			names := map[*admission.Ticket]string{}
			offer := func(name, caller string, age time.Duration) admission.Verdict {
				ticket := newTicket(&call.Request{
					Depth: test.depth, Kind: "keys", Deadline: start.Add(time.Minute),
					Root: call.Root{Caller: caller, Start: start.Add(-age)},
				}, 1)
				names[ticket] = name
				return gate.Offer(start, ticket)
			}
			is.Equal(offer("running", "parish", time.Minute).Action, admission.Run)
			offer("third", "theatre", time.Second)
			offer("second", "parish", 2*time.Second)
			offer("first", "parish", 3*time.Second)
			var got []string
			for range test.want {
				for _, ticket := range gate.Finish(start, admission.Sample{Kind: "keys", ServiceTime: time.Millisecond, HoldTime: time.Millisecond}).Run {
					got = append(got, names[ticket])
				}
			}
			is.Equal(got, test.want)
		})
	}
}
