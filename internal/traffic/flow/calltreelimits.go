package flow

import (
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/calllimit"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// CallTreeLimits limits the root requests in flight of kinds whose calls queue further down the call tree. A nil
// CallTreeLimits sets no limit.
type CallTreeLimits struct {
	mu     sync.Mutex
	limits *calllimit.Limits
}

// NewCallTreeLimits returns the limits for the requests of one node.
func NewCallTreeLimits(config calllimit.Config) *CallTreeLimits {
	return &CallTreeLimits{limits: calllimit.NewLimits(config)}
}

// begin counts a root request, or returns the reply that refuses it. Calls are not counted: they belong to a root request
// that was admitted before.
func (l *CallTreeLimits) begin(r *call.Request, slots int) (calllimit.Start, call.Reply, bool) {
	if l == nil || r.Depth > 0 {
		return calllimit.Start{}, call.Reply{}, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Announce(slots)
	if start, ok := l.limits.Begin(time.Now(), calllimit.Offer{Kind: r.Kind, Spilled: r.Spilled}); ok {
		return start, call.Reply{}, true
	}
	return calllimit.Start{}, call.Refused(call.NotRun, call.ReasonCallsWait, backend.Jittered(l.limits.RetryAfter(r.Kind))), false
}

// limit returns the in-flight limit for root requests of the kind, and whether it applies.
func (l *CallTreeLimits) limit(kind string) (float64, bool) {
	if l == nil {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Value(kind)
}

// cancel undoes a begin whose request did not start.
func (l *CallTreeLimits) cancel(r *call.Request, start calllimit.Start) {
	if l == nil || r.Depth > 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Cancel(start)
}

// end records the result of a request and its queueing delay at the local gate.
func (l *CallTreeLimits) end(r *call.Request, start calllimit.Start, queueingDelay time.Duration, result backend.Result) {
	if l == nil || r.Depth > 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.End(time.Now(), start, calllimit.Sample{
		Duration:      queueingDelay + result.HoldTime,
		QueueingDelay: queueingDelay + result.Downstream.QueueingDelay,
		Calls:         result.Downstream.Calls,
		Refused:       isOverload(result.Downstream.Failure),
	})
}

// makesCalls reports whether requests of any kind have been observed to make calls.
func (l *CallTreeLimits) makesCalls() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.MakesCalls()
}

// isOverload reports whether a call failed because of overload. A call that exceeded its deadline does not count, because
// it may have run for all that time without queueing.
func isOverload(reason call.Reason) bool {
	switch reason {
	case call.ReasonOverload, call.ReasonCallsWait, call.ReasonQueueTimeout, call.ReasonBackendShed:
		return true
	}
	return false
}
