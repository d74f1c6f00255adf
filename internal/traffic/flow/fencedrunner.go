package flow

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/fence"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// FencedRunner runs attempts of requests without keys, each at most once, and answers queries about attempts whose reply
// was lost.
type FencedRunner struct {
	local       Runner
	incarnation uint64

	mu    sync.Mutex
	table *fence.Table
}

// NewFencedRunner returns a FencedRunner for the process with the incarnation. It passes attempts on to local.
func NewFencedRunner(local Runner, incarnation uint64) *FencedRunner {
	return &FencedRunner{local: local, incarnation: incarnation, table: fence.NewTable()}
}

// Receive runs the attempt, unless it was fenced or received before.
func (f *FencedRunner) Receive(ctx context.Context, r *call.Request) call.Reply {
	if !f.begin(r.AttemptID) {
		return call.Refused(call.NotRun, call.ReasonPeerSilent, 0)
	}
	reply := f.local.Receive(ctx, r)
	f.end(r.AttemptID, reply.Outcome != call.NotRun)
	return reply
}

func (f *FencedRunner) begin(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Begin(time.Now(), id)
}

func (f *FencedRunner) end(id string, mayHaveRun bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.End(time.Now(), id, mayHaveRun)
}

// fenceStates maps the states of the fence table to the states that are reported to other nodes.
var fenceStates = map[fence.State]outcome.State{
	fence.Fenced:  outcome.NotRun,
	fence.Running: outcome.Running,
	fence.Ran:     outcome.Absent,
}

// Resolve returns the state of an attempt. An attempt that has not arrived is fenced only if it was sent to this
// incarnation, because an earlier process may have run it. If the sender still knows an earlier incarnation but the
// attempt did arrive here, its state is returned as well.
func (f *FencedRunner) Resolve(q peer.ResolveQuery) peer.Resolution {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.Key != "" || q.Incarnation != f.incarnation && !f.table.Knows(q.AttemptID) {
		return peer.Resolution{}
	}
	return peer.Resolution{Known: true, State: fenceStates[f.table.Resolve(time.Now(), q.AttemptID)]}
}

// TakeOver refuses all parts, because a FencedRunner stores no keys.
func (f *FencedRunner) TakeOver(context.Context, peer.HandoverPart) (bool, error) {
	return false, nil
}

// Promise refuses all promises, because a FencedRunner keeps no shards of keys.
func (f *FencedRunner) Promise(peer.PromiseQuery) peer.PromiseResult {
	return peer.PromiseResult{}
}
