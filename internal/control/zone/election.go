package zone

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// leaderValue is the value that a leader writes under its lease.
type leaderValue struct {
	Node        string `json:"node"`
	PeerAddress string `json:"peer_address"`
	// Incarnation distinguishes processes of the same node.
	Incarnation uint64 `json:"incarnation"`
	// Term grows with each leader of the zone, even if the platform is rolled back to older content.
	Term uint64 `json:"term"`
}

func parseLeader(value []byte) leaderValue {
	var v leaderValue
	_ = json.Unmarshal(value, &v) // An unreadable value names no leader.
	return v
}

func decodeLeader(e platform.Entry) []membership.Record {
	v := parseLeader(e.Value)
	return []membership.Record{{Key: e.Key, Version: membership.Version{Epoch: v.Term}, Value: e.Value}}
}

// readLeader reads the leader's entry in the platform, and acquires the leadership if there is no leader.
func (c *Controller) readLeader(ctx context.Context) {
	self := c.config.Board.Snapshot().Self
	entry, err := c.config.Platform.Get(ctx, LeaderPrefix+self.Zone)
	c.recordPlatformResult(ctx, err)
	named := parseLeader(entry.Value)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.acquireLeadership(ctx, self, platform.Entry{})
	case err != nil:
		return
	case named.Node == self.Node:
		c.acquireLeadership(ctx, self, entry) // From an earlier process of this node, or a lease that this process lost track of.
	default:
		c.config.Board.Do(ctx, func(*board.Board) {
			c.election.RecordPlatformLeader(membership.Target{Node: named.Node, Address: named.PeerAddress})
		})
	}
}

// acquireLeadership replaces the leader's entry with one that names this node, under a new lease.
func (c *Controller) acquireLeadership(ctx context.Context, self board.Self, entry platform.Entry) {
	stored, err := c.config.Platform.Get(ctx, zonePrefix+self.Zone)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	requestedAt := time.Now()
	lease, err := c.config.Platform.GrantLease(ctx, c.config.Timing.LeaseTTL)
	if err != nil {
		return
	}
	value := leaderValue{Node: self.Node, PeerAddress: self.PeerAddress, Incarnation: c.logID, Term: c.nextTerm(ctx, stored)}
	encoded, err := json.Marshal(value)
	if err != nil {
		return
	}
	swap := platform.Swap{Key: leaderKey(self), Value: encoded, Expected: entry.Revision, Lease: lease.ID}
	written, err := c.config.Platform.CompareAndSwap(ctx, swap)
	if err != nil {
		return // Another node wrote first, or the response was lost: the lease expires, or the next read finds this node.
	}
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.election.RecordLeaseGranted(membership.Lease{Term: value.Term, Until: requestedAt.Add(c.config.Timing.LeaseTTL)})
		c.leadership.beginTerm(lease, requestedAt, encoded, stored.Revision)
		c.presumePredecessorDown(b)
		c.offer(b, decodeLeader(written)...)
	})
	c.wake()
}

// leaderKey returns the platform key of the leader of the node's zone.
func leaderKey(self board.Self) string {
	return LeaderPrefix + self.Zone
}

// nextTerm returns a term above every term of the zone that this node or the zone's entry in the platform holds.
func (c *Controller) nextTerm(ctx context.Context, stored platform.Entry) uint64 {
	var v zoneValue
	_ = json.Unmarshal(stored.Value, &v) // Without a value the stored term is 0.
	term := v.Term
	c.config.Board.Do(ctx, func(b *board.Board) {
		held, _ := c.records.Get(leaderKey(b.Self))
		term = max(term, held.Version.Epoch, c.election.Term())
	})
	return term + 1
}

// presumePredecessorDown marks the previous leader as presumed down if it was unresponsive while its lease expired.
func (c *Controller) presumePredecessorDown(b *board.Board) {
	c.detector.Reset()
	held, found := c.records.Get(leaderKey(b.Self))
	predecessor := parseLeader(held.Value).Node
	if found && predecessor != b.Self.Node && c.election.IsUnresponsive(predecessor) {
		c.detector.PresumeDown(predecessor, time.Now())
	}
}

// renewLease renews the lease. The LeaseTTL counts from when the renewal was requested, so a pause of the process before
// the response does not extend the lease.
func (c *Controller) renewLease(ctx context.Context) {
	requestedAt := time.Now()
	var lease platform.Lease
	c.config.Board.Do(ctx, func(*board.Board) { lease = c.leadership.lease })
	err := c.config.Platform.RenewLease(ctx, lease)
	c.recordPlatformResult(ctx, err)
	c.config.Board.Do(ctx, func(*board.Board) {
		switch {
		case lease.ID != c.leadership.lease.ID:
		case err == nil:
			c.leadership.leaseRenewedAt = requestedAt
			c.election.RecordLeaseRenewed(requestedAt.Add(c.config.Timing.LeaseTTL))
		case errors.Is(err, platform.ErrNotFound):
			c.election.RecordLeaseLost()
		}
	})
}

// recordPlatformResult records whether the platform responded to a call. A refusal by the platform is a response.
func (c *Controller) recordPlatformResult(ctx context.Context, err error) {
	reachable := err == nil || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrCompareFailed)
	if ctx.Err() != nil {
		return
	}
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.counts.PlatformCalls++
		if !reachable {
			c.election.RecordPlatformUnreachable()
		}
		if b.Platform.Reachable == reachable && !b.Platform.Since.IsZero() {
			return
		}
		number := events.PlatformLost
		if reachable {
			number = events.PlatformBack
		}
		c.config.Log.Emit(number, nil)
		b.Platform = board.Platform{Reachable: reachable, Since: time.Now()}
	})
}
