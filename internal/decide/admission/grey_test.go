package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// Grey failure: a backend server sheds half of its requests at random while it has free slots. If that counted as
// overload, the limit would shrink, the gate would refuse requests that the backend server can serve, and the limit would
// recover slowly.
func TestRandomSheddingKeepsFixedLimit(t *testing.T) {
	is := is.New(t)
	config := admission.GateConfig{
		Limit: admission.LimitConfig{
			Fixed: true, Initial: 8, Min: 1, Max: 100, DecreaseFactor: 0.7, TrialDecreaseFactor: 0.8, GrowthRatio: 0.1, Tolerance: 2,
			Window: 100 * time.Millisecond, MaxWindow: time.Second, KindRetention: time.Minute, TrialDelay: 5 * time.Second,
		},
		QueuePerSlot: 4, MaxDelayLeastUrgent: 100 * time.Millisecond, MaxDelayMostUrgent: 300 * time.Millisecond, MaxRetryAfter: time.Second,
	}
	gate := admission.NewGate(config)
	gate.Announce(12, 100)
	now := time.Now()
	for n := range 400 {
		verdict := gate.Offer(now, &admission.Ticket{Kind: "keys", Rank: 1, Share: 1, Deadline: now.Add(time.Second)})
		is.Equal(verdict.Action, admission.Run) // no other request is in flight
		now = now.Add(5 * time.Millisecond)
		gate.Finish(now, admission.Sample{Kind: "keys", HoldTime: 5 * time.Millisecond, ServiceTime: 5 * time.Millisecond, Overloaded: n%2 == 0})
	}
	is.Equal(gate.LimitValue(), 12)
}
