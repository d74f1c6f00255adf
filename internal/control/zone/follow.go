package zone

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

const (
	// mismatchesToRepair is the number of consecutive heartbeats with a different digest after which buckets are
	// compared.
	mismatchesToRepair = 3
	// minRepairInterval is the minimum time between two comparisons with the same node.
	minRepairInterval = 3 * time.Second
	// linkIdleTimeout is the time without use after which a link may be dropped.
	linkIdleTimeout = time.Minute
)

// link is the state kept for another node that this node sends heartbeats to.
type link struct {
	// logID and logPosition identify the other node's change log and the last change in it that was applied here.
	logID       uint64
	logPosition uint64
	// pending holds the keys of records that were made here and that the other node may lack.
	pending map[string]bool
	// sendsHeartbeats reports whether the other node also sends heartbeats to this one and gets changes in the replies,
	// so that no records need to be queued for it.
	sendsHeartbeats bool
	mismatches      int
	repairedAt      time.Time
	usedAt          time.Time
}

func (l *link) offer(records []membership.Record) {
	if l.sendsHeartbeats {
		return
	}
	for _, r := range records {
		l.pending[r.Key] = true
	}
}

// link returns the link to the address. Creating a link drops the links that have been idle for longer than
// linkIdleTimeout.
func (c *Controller) link(address string, now time.Time) *link {
	l, ok := c.links[address]
	if !ok {
		for other, held := range c.links {
			if now.Sub(held.usedAt) > linkIdleTimeout {
				delete(c.links, other)
			}
		}
		l = &link{pending: map[string]bool{membership.MemberPrefix + c.own.Node: true}}
		c.links[address] = l
	}
	l.usedAt = now
	return l
}

// sendHeartbeat sends a heartbeat to a node of the same zone and reports the result to the election.
func (c *Controller) sendHeartbeat(ctx context.Context, t membership.Target) {
	reply, err := c.synchronize(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	c.config.Board.Do(ctx, func(b *board.Board) {
		now := time.Now()
		if err != nil {
			c.election.RecordFailure(now, t)
			return
		}
		c.election.RecordReply(now, t, reply.ElectionState)
		c.publishLeader(b, now)
	})
}

// synchronize exchanges heartbeats with the node at the address until the node has no further changes to send.
func (c *Controller) synchronize(ctx context.Context, address string) (HeartbeatReply, error) {
	for {
		request := c.newHeartbeat(ctx, address)
		reply, err := c.config.Peers.SendHeartbeat(ctx, address, request)
		if err != nil {
			return reply, err
		}
		if c.applyReply(ctx, address, request, reply) {
			c.repair(ctx, address)
		}
		if !reply.More {
			return reply, nil
		}
	}
}

// newHeartbeat returns the next heartbeat for the node at the address.
func (c *Controller) newHeartbeat(ctx context.Context, address string) Heartbeat {
	var request Heartbeat
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.counts.HeartbeatsSent++
		l := c.link(address, time.Now())
		request.LogID, request.LogPosition = l.logID, l.logPosition
		for key := range l.pending {
			if r, ok := c.records.Get(key); ok {
				request.Changed = append(request.Changed, r)
			}
		}
		if c.role != membership.Following {
			request.Leads, request.Address = true, b.Self.PeerAddress
			request.Leased = c.role == membership.Leading
		}
	})
	return request
}

// applyReply applies the changes in the reply and reports whether buckets should be compared.
func (c *Controller) applyReply(ctx context.Context, address string, request Heartbeat, reply HeartbeatReply) bool {
	repair := false
	c.config.Board.Do(ctx, func(b *board.Board) {
		now := time.Now()
		l := c.link(address, now)
		c.acknowledge(l, request.Changed)
		allApplied := c.mergeChanges(b, reply.Newer)
		if reply.More {
			l.logPosition = reply.NextPosition
			return
		}
		if c.records.Digest() == reply.Digest {
			l.mismatches = 0
		} else {
			l.mismatches++
		}
		unknownLog := l.logID != reply.LogID && l.mismatches > 0
		l.logID, l.logPosition = reply.LogID, reply.NextPosition
		if !allApplied {
			l.logID = 0 // The next heartbeat is handled as one from a node that does not know the log.
		}
		if unknownLog || (l.mismatches >= mismatchesToRepair && now.Sub(l.repairedAt) > minRepairInterval) {
			repair = true
			l.repairedAt = now
			c.counts.Repairs++
		}
	})
	return repair
}

// mergeChanges merges changes and reports whether every patch could be applied.
func (c *Controller) mergeChanges(b *board.Board, changes []membership.Change) bool {
	allApplied := true
	var received []membership.Record
	for _, change := range changes {
		held, _ := c.records.Get(change.Record.Key)
		known := change.Record.Version.Compare(held.Version) <= 0
		switch {
		case !change.Patched:
			received = append(received, change.Record)
		case !known:
			r, fits := change.Patch.Apply(held)
			allApplied = allApplied && fits
			if fits {
				received = append(received, r)
			}
		}
	}
	c.merge(b, received...)
	return allApplied
}

// acknowledge removes the sent records from the pending ones, except those that changed after they were sent.
func (c *Controller) acknowledge(l *link, sent []membership.Record) {
	for _, r := range sent {
		held, _ := c.records.Get(r.Key)
		if held.Version.Compare(r.Version) == 0 {
			delete(l.pending, r.Key)
		}
	}
}

// repair compares buckets with the node at the address and exchanges the records that differ.
func (c *Controller) repair(ctx context.Context, address string) {
	var digests []uint64
	c.config.Board.Do(ctx, func(*board.Board) { digests = c.records.Digests() })
	versions, theirs, err := c.config.Peers.Compare(ctx, address, digests)
	if err != nil {
		return
	}
	var wanted []string
	var offered []membership.Record
	c.config.Board.Do(ctx, func(*board.Board) {
		wanted = c.records.MissingKeys(versions)
		offered = c.records.NewerThan(theirs, versions)
	})
	for len(wanted)+len(offered) > 0 {
		batch, rest := splitToFit(offered)
		newer, err := c.config.Peers.Exchange(ctx, address, wanted, batch)
		if err != nil || (len(newer) == 0 && len(batch) == 0) {
			return
		}
		offered = rest
		c.config.Board.Do(ctx, func(b *board.Board) {
			c.merge(b, newer...)
			wanted = c.records.MissingKeys(selectVersions(versions, wanted))
		})
	}
}

// splitToFit returns the leading records that fit in one message, and the rest.
func splitToFit(records []membership.Record) (batch, rest []membership.Record) {
	remaining := maxRecordBytes
	for i, r := range records {
		remaining -= len(r.Value)
		if i > 0 && remaining < 0 {
			return records[:i], records[i:]
		}
	}
	return records, nil
}

// selectVersions returns the versions of the keys.
func selectVersions(versions map[string]membership.Version, keys []string) map[string]membership.Version {
	selected := make(map[string]membership.Version, len(keys))
	for _, key := range keys {
		selected[key] = versions[key]
	}
	return selected
}

// contactSeeds joins through the configured addresses when there is no node to send heartbeats to.
func (c *Controller) contactSeeds(ctx context.Context) {
	for _, address := range c.config.Seeds {
		c.tasks.start("heartbeat "+address, func() { _, _ = c.synchronize(ctx, address) })
	}
}
