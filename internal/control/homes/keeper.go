package homes

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// promiseTimeout bounds one question to a keeper.
const promiseTimeout = 500 * time.Millisecond

// keepers returns the node itself and a node of another availability zone, where there is one: then the loss of a
// zone leaves a keeper who knows how far the shard was extended. The second keeper stays while it is up; the zones'
// second keepers are spread over all nodes.
func (c *Controller) keepers(b *board.Board, written outcome.Shard) []outcome.Node {
	if written.IsFirstKeeper(c.config.Self) && len(written.Keepers) > 1 && mayKeep(b, written.Keepers[1]) {
		return written.Keepers
	}
	var second outcome.Node
	var most uint64
	for _, m := range b.Members.ByNode {
		n := outcome.Node{Name: m.Node, Incarnation: m.Incarnation}
		if hash := xxhash.Sum64String(b.Self.Zone + " " + m.Node); mayKeep(b, n) && hash >= most {
			second, most = n, hash
		}
	}
	if second.IsZero() {
		return nil
	}
	return []outcome.Node{c.config.Self, second}
}

func mayKeep(b *board.Board, n outcome.Node) bool {
	m, ok := b.Members.ByNode[n.Name]
	return ok && m.Incarnation == n.Incarnation && m.State == membership.Up && m.Zone != b.Self.Zone
}

// reserve is nothing for a node that leaves, so that nobody waits for its promises.
func (c *Controller) reserve(b *board.Board) time.Duration {
	if b.Self.Draining || b.Backend.Leaving {
		return 0
	}
	return c.config.Timing.Reserve
}

// base returns the shard on which this node may build: what the platform holds, with the end to which the keepers
// have moved it. It reports false where no keeper can be asked and the end may still move.
func (c *Controller) base(ctx context.Context, b *board.Board, shard string, written outcome.Shard) (outcome.Shard, bool) {
	base := newest(b.Homes.Shards[shard], written)
	if len(base.Keepers) == 0 || base.IsFirstKeeper(c.config.Self) {
		return base, true
	}
	for _, keeper := range base.Keepers {
		if until, ok := c.fence(ctx, b, shard, base.Term, keeper); ok {
			return base.Extend(until), true
		}
	}
	if time.Now().UnixMilli() < base.Limit {
		return base, false
	}
	return base.Extend(base.Limit), true
}

// fence takes back a keeper's promise and returns the latest end that it promised.
func (c *Controller) fence(ctx context.Context, b *board.Board, shard string, term uint64, keeper outcome.Node) (int64, bool) {
	q := peer.PromiseQuery{Shard: shard, Term: term, Fence: true, Incarnation: keeper.Incarnation}
	a, ok := c.ask(ctx, b, keeper, q)
	return a.Until, ok
}

func (c *Controller) ask(ctx context.Context, b *board.Board, keeper outcome.Node, q peer.PromiseQuery) (peer.PromiseResult, bool) {
	if keeper == c.config.Self {
		return c.Promise(q), true
	}
	m, ok := b.Members.ByNode[keeper.Name]
	if !ok || m.Incarnation != keeper.Incarnation {
		return peer.PromiseResult{}, false
	}
	a, err := c.config.Peers.Promise(ctx, m.PeerAddress, q, promiseTimeout)
	return a, err == nil && a.Known
}

// Promise answers as a keeper of a shard.
func (c *Controller) Promise(q peer.PromiseQuery) peer.PromiseResult {
	if q.Incarnation != c.config.Self.Incarnation {
		return peer.PromiseResult{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.Fence {
		return peer.PromiseResult{Known: true, Until: c.promises.Fence(q.Shard, q.Term)}
	}
	return peer.PromiseResult{Known: true, Granted: c.promises.Grant(q.Shard, q.Term, q.Until)}
}

// extend moves the end of a shard of which this node is the first keeper, by the promise of both, where no more than
// the given time is left. It reports whether the end was moved.
func (c *Controller) extend(ctx context.Context, offerer Offerer, shard string, left time.Duration) bool {
	b := c.config.Board.Snapshot()
	known := b.Homes.Shards[shard]
	now := time.Now()
	if !known.IsFirstKeeper(c.config.Self) || len(known.Keepers) < 2 || c.unsettled[shard] {
		return false
	}
	if time.UnixMilli(known.Last().Until).Sub(now) > left {
		return false
	}
	until := min(now.Add(c.config.Timing.Horizon).UnixMilli(), known.Limit)
	if until <= known.Last().Until || !c.promised(ctx, b, shard, known, until) {
		return false
	}
	value, err := json.Marshal(known.Extend(until))
	if err != nil {
		return false
	}
	offerer.Offer(ctx, record(Prefix+shard, value))
	return true
}

// promised asks this node itself first, so that whoever asks it later learns of the end.
func (c *Controller) promised(ctx context.Context, b *board.Board, shard string, known outcome.Shard, until int64) bool {
	for _, keeper := range known.Keepers {
		q := peer.PromiseQuery{Shard: shard, Term: known.Term, Until: until, Incarnation: keeper.Incarnation}
		if a, ok := c.ask(ctx, b, keeper, q); !ok || !a.Granted {
			return false
		}
	}
	return true
}
