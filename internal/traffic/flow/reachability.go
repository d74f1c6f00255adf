package flow

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/reach"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// ReachabilityMonitorConfig configures a ReachabilityMonitor.
type ReachabilityMonitorConfig struct {
	Board *board.Loop
	Peers *peer.Client
	Log   *events.Limiter
}

const (
	// probePollInterval is the interval between checks for nodes that are due for a probe.
	probePollInterval = 50 * time.Millisecond
	// probeTimeout is the timeout of one probe.
	probeTimeout = 400 * time.Millisecond
)

// ReachabilityMonitor keeps requests away from nodes that did not answer, and probes these nodes until they do. A nil
// ReachabilityMonitor tracks no nodes.
type ReachabilityMonitor struct {
	config ReachabilityMonitorConfig
	// wake receives a value when a node becomes unreachable.
	wake chan struct{}
	// onChange is called when a node becomes unreachable or reachable.
	onChange func(node string, unreachable bool)

	mu      sync.Mutex
	tracker *reach.Tracker
}

// NewReachabilityMonitor returns a monitor that regards all nodes as reachable. Unreachable nodes are probed only while
// Run runs.
func NewReachabilityMonitor(config ReachabilityMonitorConfig) *ReachabilityMonitor {
	return &ReachabilityMonitor{config: config, wake: make(chan struct{}, 1), onChange: func(string, bool) {}, tracker: reach.NewTracker()}
}

// observe marks the node as unreachable if the reply shows that it did not answer.
func (r *ReachabilityMonitor) observe(node string, reply *call.Reply, elapsed time.Duration) {
	if r == nil || !isNoAnswer(reply, elapsed) {
		return
	}
	r.mu.Lock()
	newlyUnreachable := r.tracker.MarkUnreachable(time.Now(), node)
	r.mu.Unlock()
	if !newlyUnreachable {
		return
	}
	r.onChange(node, true)
	r.config.Log.Emit(time.Now(), events.PeerLost, events.Fields{"peer": node, "reason": string(reply.Reason), "took_ms": elapsed.Milliseconds()})
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// isNoAnswer reports whether the node did not answer. A short silence does not count, because the deadline of a caller
// may be shorter than any reply takes.
func isNoAnswer(reply *call.Reply, elapsed time.Duration) bool {
	switch reply.Reason {
	case call.ReasonPeerUnreachable:
		return true
	case call.ReasonPeerSilent:
		return elapsed >= minSilence
	}
	return false
}

// Run probes unreachable nodes until the context ends.
func (r *ReachabilityMonitor) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for r.probeDue(ctx, &group) && pause.For(ctx, probePollInterval) {
		}
	}
}

// probeDue probes the nodes that are due and reports whether any node is unreachable.
func (r *ReachabilityMonitor) probeDue(ctx context.Context, group *conc.WaitGroup) bool {
	r.mu.Lock()
	due := r.tracker.Due(time.Now())
	unreachableCount := r.tracker.Len()
	r.mu.Unlock()
	members := r.config.Board.Snapshot().Members.ByNode
	for _, node := range due {
		m, isMember := members[node]
		if !isMember {
			r.markReachable(node)
			continue
		}
		group.Go(func() { r.probe(ctx, node, m.PeerAddress) })
	}
	return unreachableCount > 0
}

// probe sends the node a query without side effects. Any response marks it as reachable.
func (r *ReachabilityMonitor) probe(ctx context.Context, node, address string) {
	_, err := r.config.Peers.Resolve(ctx, address, peer.ResolveQuery{AttemptID: newAttemptID()}, probeTimeout)
	if err == nil {
		r.markReachable(node)
	}
}

func (r *ReachabilityMonitor) markReachable(node string) {
	r.mu.Lock()
	since, wasUnreachable := r.tracker.Clear(node)
	r.mu.Unlock()
	if !wasUnreachable {
		return
	}
	r.onChange(node, false)
	r.config.Log.Emit(time.Now(), events.PeerBack, events.Fields{"peer": node, "lost_ms": time.Since(since).Milliseconds()})
}
