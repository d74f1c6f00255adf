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

// ReachConfig sets a Reach up.
type ReachConfig struct {
	Board *board.Loop
	Peers *peer.Client
	Log   *events.Limiter
}

const (
	// askTick is the time between looks for nodes that are to be asked.
	askTick = 50 * time.Millisecond
	// askTimeout bounds the wait for an answer.
	askTimeout = 400 * time.Millisecond
)

// Reach keeps requests away from nodes that gave no answer, and asks these until they do. A nil Reach keeps nobody away.
type Reach struct {
	config ReachConfig
	// lost is signalled when a node was lost.
	lost chan struct{}
	// changed is told of each node that is lost or found.
	changed func(node string, lost bool)

	mu      sync.Mutex
	tracker *reach.Tracker
}

// NewReach returns a Reach that has lost nobody. Run must be started for nodes to be found again.
func NewReach(config ReachConfig) *Reach {
	return &Reach{config: config, lost: make(chan struct{}, 1), changed: func(string, bool) {}, tracker: reach.NewTracker()}
}

// note takes in the reply of a node, or the lack of one.
func (r *Reach) note(node string, reply *call.Reply, took time.Duration) {
	if r == nil || !isUnanswered(reply, took) {
		return
	}
	r.mu.Lock()
	isNew := r.tracker.Lost(time.Now(), node)
	r.mu.Unlock()
	if !isNew {
		return
	}
	r.changed(node, true)
	r.config.Log.Emit(time.Now(), events.PeerLost, events.Fields{"peer": node, "reason": string(reply.Reason), "took_ms": took.Milliseconds()})
	select {
	case r.lost <- struct{}{}:
	default:
	}
}

// isUnanswered reports whether the node gave no answer. The patience of a caller may be shorter than any answer takes.
func isUnanswered(reply *call.Reply, took time.Duration) bool {
	switch reply.Reason {
	case call.ReasonPeerUnreachable:
		return true
	case call.ReasonPeerSilent:
		return took >= leastSilence
	}
	return false
}

// Run asks lost nodes until the context ends.
func (r *Reach) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.lost:
		}
		for r.askDue(ctx, &group) && pause.For(ctx, askTick) {
		}
	}
}

// askDue asks the nodes that are due, and reports whether any is lost.
func (r *Reach) askDue(ctx context.Context, group *conc.WaitGroup) bool {
	r.mu.Lock()
	due := r.tracker.Due(time.Now())
	left := r.tracker.Len()
	r.mu.Unlock()
	members := r.config.Board.Snapshot().Members.ByNode
	for _, node := range due {
		m, isMember := members[node]
		if !isMember {
			r.found(node)
			continue
		}
		group.Go(func() { r.ask(ctx, node, m.PeerAddress) })
	}
	return left > 0
}

// ask puts a harmless question to the node; any answer will do.
func (r *Reach) ask(ctx context.Context, node, address string) {
	_, err := r.config.Peers.Resolve(ctx, address, peer.Question{AttemptID: newAttemptID()}, askTimeout)
	if err == nil {
		r.found(node)
	}
}

func (r *Reach) found(node string) {
	r.mu.Lock()
	since, wasLost := r.tracker.Found(node)
	r.mu.Unlock()
	if !wasLost {
		return
	}
	r.changed(node, false)
	r.config.Log.Emit(time.Now(), events.PeerBack, events.Fields{"peer": node, "lost_ms": time.Since(since).Milliseconds()})
}
