package flow

import (
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/trees"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// Trees bounds the root requests whose calls have to wait further down. A nil Trees bounds nothing.
type Trees struct {
	mu     sync.Mutex
	limits *trees.Limits
}

// NewTrees returns bounds for the requests of one node.
func NewTrees(config trees.Config) *Trees {
	return &Trees{limits: trees.NewLimits(config)}
}

// begin counts a root request, or returns the reply that refuses it. Calls are part of what was admitted before.
func (t *Trees) begin(r *call.Request, slots int) (trees.Start, call.Reply, bool) {
	if t == nil || r.Depth > 0 {
		return trees.Start{}, call.Reply{}, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.Announce(slots)
	if start, ok := t.limits.Begin(time.Now(), trees.Offer{Kind: r.Kind, Spilled: r.Spilled}); ok {
		return start, call.Reply{}, true
	}
	return trees.Start{}, call.Refused(call.NotRun, call.ReasonCallsWait, backend.Jittered(t.limits.RetryAfter(r.Kind))), false
}

// bound returns how many root requests of the kind may run, and whether that holds.
func (t *Trees) bound(kind string) (float64, bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.Value(kind)
}

// cancel takes back a begin whose request did not start.
func (t *Trees) cancel(r *call.Request, start trees.Start) {
	if t == nil || r.Depth > 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.Cancel(start)
}

// end takes in how a request ended that had waited for a slot.
func (t *Trees) end(r *call.Request, start trees.Start, waited time.Duration, result backend.Result) {
	if t == nil || r.Depth > 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits.End(time.Now(), start, trees.Sample{
		Took:    waited + result.Held,
		Waited:  waited + result.Below.Waited,
		Calls:   result.Below.Calls,
		Refused: isShort(result.Below.Failure),
	})
}

// makesCalls reports whether requests of some kind were seen to make calls.
func (t *Trees) makesCalls() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.MakesCalls()
}

// isShort reports whether a call failed for want of room. One that ran out of time may just have worked for long.
func isShort(reason call.Reason) bool {
	switch reason {
	case call.ReasonOverload, call.ReasonCallsWait, call.ReasonQueueTimeout, call.ReasonBackendShed:
		return true
	}
	return false
}
