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

// FencedRunner runs the attempts of requests without keys, each once at most, and tells what became of those whose answer was
// lost.
type FencedRunner struct {
	local       Runner
	incarnation uint64

	mu    sync.Mutex
	table *fence.Table
}

// NewFencedRunner returns a Fenced for this process that hands attempts to local.
func NewFencedRunner(local Runner, incarnation uint64) *FencedRunner {
	return &FencedRunner{local: local, incarnation: incarnation, table: fence.NewTable()}
}

// Receive runs one attempt.
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

func (f *FencedRunner) end(id string, started bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.End(time.Now(), id, started)
}

// fenceStates are the states as other nodes are told of them.
var fenceStates = map[fence.State]outcome.State{
	fence.Fenced:  outcome.NotRun,
	fence.Running: outcome.Running,
	fence.Ran:     outcome.Absent,
}

// Resolve tells what became of an attempt. One that did not come here is fenced only where it was sent to this process: an
// earlier one may have run it. The asking node may know an earlier start of this one, and have sent the attempt here.
func (f *FencedRunner) Resolve(q peer.ResolveQuery) peer.Resolution {
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.Key != "" || q.Incarnation != f.incarnation && !f.table.Knows(q.AttemptID) {
		return peer.Resolution{}
	}
	return peer.Resolution{Known: true, State: fenceStates[f.table.Resolve(time.Now(), q.AttemptID)]}
}

// TakeOver refuses: no keys are remembered here.
func (f *FencedRunner) TakeOver(context.Context, peer.HandoverPart) (bool, error) {
	return false, nil
}

// Promise refuses: there are no shards of keys.
func (f *FencedRunner) Promise(peer.PromiseQuery) peer.PromiseResult {
	return peer.PromiseResult{}
}
