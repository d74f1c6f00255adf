package keyowners

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

// promiseTimeout is the timeout for one query to a keeper.
const promiseTimeout = 500 * time.Millisecond

// chooseKeepers returns this node and a node of another availability zone, or none if there is no such node. If one
// zone is lost, the other keeper still knows how far the shard was extended. The second keeper is not replaced while it
// is up. It is selected by a hash of zone and node, which distributes the zones' second keepers over all nodes.
func (c *Controller) chooseKeepers(b *board.Board, written outcome.Shard) []outcome.Node {
	if written.IsFirstKeeper(c.config.Self) && len(written.Keepers) > 1 && isEligibleKeeper(b, written.Keepers[1]) {
		return written.Keepers
	}
	var second outcome.Node
	var highestHash uint64
	for _, m := range b.Members.ByNode {
		n := outcome.Node{Name: m.Node, Incarnation: m.Incarnation}
		if hash := xxhash.Sum64String(b.Self.Zone + " " + m.Node); isEligibleKeeper(b, n) && hash >= highestHash {
			second, highestHash = n, hash
		}
	}
	if second.IsZero() {
		return nil
	}
	return []outcome.Node{c.config.Self, second}
}

func isEligibleKeeper(b *board.Board, n outcome.Node) bool {
	m, ok := b.Members.ByNode[n.Name]
	return ok && m.Incarnation == n.Incarnation && m.State == membership.Up && m.Zone != b.Self.Zone
}

// reserve returns how far the end may be moved by promises. It is 0 for a leaving node, so that no other node has to
// wait for its promises.
func (c *Controller) reserve(b *board.Board) time.Duration {
	if b.Self.Draining || b.Backend.Leaving {
		return 0
	}
	return c.config.Timing.Reserve
}

// writeBase returns the shard that a write must start from: the shard at the platform, with the end to which the
// keepers have moved it. It reports false if no keeper replies and the end may still be moved.
func (c *Controller) writeBase(ctx context.Context, b *board.Board, shard string, written outcome.Shard) (outcome.Shard, bool) {
	base := mergeShards(b.KeyOwners.Shards[shard], written)
	if len(base.Keepers) == 0 || base.IsFirstKeeper(c.config.Self) {
		return base, true
	}
	for _, keeper := range base.Keepers {
		if until, ok := c.fencePromise(ctx, b, shard, base.Term, keeper); ok {
			return base.Extend(until), true
		}
	}
	if time.Now().UnixMilli() < base.Limit {
		return base, false
	}
	return base.Extend(base.Limit), true
}

// fencePromise stops a keeper from giving further promises in the term and returns the latest end that it ever
// promised.
func (c *Controller) fencePromise(ctx context.Context, b *board.Board, shard string, term uint64, keeper outcome.Node) (int64, bool) {
	query := peer.PromiseQuery{Shard: shard, Term: term, Fence: true, Incarnation: keeper.Incarnation}
	result, ok := c.queryKeeper(ctx, b, keeper, query)
	return result.Until, ok
}

func (c *Controller) queryKeeper(ctx context.Context, b *board.Board, keeper outcome.Node, query peer.PromiseQuery) (peer.PromiseResult, bool) {
	if keeper == c.config.Self {
		return c.Promise(query), true
	}
	m, ok := b.Members.ByNode[keeper.Name]
	if !ok || m.Incarnation != keeper.Incarnation {
		return peer.PromiseResult{}, false
	}
	result, err := c.config.Peers.Promise(ctx, m.PeerAddress, query, promiseTimeout)
	return result, err == nil && result.Known
}

// Promise answers a query as a keeper of a shard.
func (c *Controller) Promise(query peer.PromiseQuery) peer.PromiseResult {
	if query.Incarnation != c.config.Self.Incarnation {
		return peer.PromiseResult{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if query.Fence {
		return peer.PromiseResult{Known: true, Until: c.promises.Fence(query.Shard, query.Term)}
	}
	return peer.PromiseResult{Known: true, Granted: c.promises.Grant(query.Shard, query.Term, query.Until)}
}

// extendByPromise moves the end of a shard by the promises of both keepers, if this node is the first keeper and no
// more than maxRemaining is left until the end. It reports whether the end was moved.
func (c *Controller) extendByPromise(ctx context.Context, offerer Offerer, shard string, maxRemaining time.Duration) bool {
	b := c.config.Board.Snapshot()
	known := b.KeyOwners.Shards[shard]
	now := time.Now()
	if !known.IsFirstKeeper(c.config.Self) || len(known.Keepers) < 2 || c.unacknowledged[shard] {
		return false
	}
	if time.UnixMilli(known.Last().Until).Sub(now) > maxRemaining {
		return false
	}
	until := min(now.Add(c.config.Timing.Horizon).UnixMilli(), known.Limit)
	if until <= known.Last().Until || !c.obtainPromises(ctx, b, shard, known, until) {
		return false
	}
	value, err := json.Marshal(known.Extend(until))
	if err != nil {
		return false
	}
	offerer.Offer(ctx, shardRecord(Prefix+shard, value))
	return true
}

// obtainPromises reports whether both keepers promise the new end. This node is queried first, so that a later query
// to it returns that end.
func (c *Controller) obtainPromises(ctx context.Context, b *board.Board, shard string, known outcome.Shard, until int64) bool {
	for _, keeper := range known.Keepers {
		query := peer.PromiseQuery{Shard: shard, Term: known.Term, Until: until, Incarnation: keeper.Incarnation}
		if result, ok := c.queryKeeper(ctx, b, keeper, query); !ok || !result.Granted {
			return false
		}
	}
	return true
}
