package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// Grey failure: a backend server sheds half of its requests at random while it has free slots. A limit that takes that for
// overload gives away the other half, and is slow to come back.
func TestSheddingAtRandomKeepsTheSlots(t *testing.T) {
	is := is.New(t)
	config := admission.GateConfig{
		Limit: admission.LimitConfig{
			Fixed: true, Initial: 8, Min: 1, Max: 100, Backoff: 0.7, TrialBackoff: 0.8, Growth: 0.1, Tolerance: 2,
			Window: 100 * time.Millisecond, MaxWindow: time.Second, KindMemory: time.Minute, RetrialTime: 5 * time.Second,
		},
		QueuePerSlot: 4, MaxWait: 100 * time.Millisecond, UrgentWait: 300 * time.Millisecond, MaxRetryAfter: time.Second,
	}
	gate := admission.NewGate(config)
	gate.Announce(12, 100)
	now := time.Now()
	for n := range 400 {
		verdict := gate.Offer(now, &admission.Ticket{Kind: "keys", Rank: 1, Share: 1, Deadline: now.Add(time.Second)})
		is.Equal(verdict.Action, admission.Run) // nothing else is in flight
		now = now.Add(5 * time.Millisecond)
		gate.Finish(now, admission.Sample{Kind: "keys", Held: 5 * time.Millisecond, Took: 5 * time.Millisecond, Overloaded: n%2 == 0})
	}
	is.Equal(gate.LimitValue(), 12)
}
