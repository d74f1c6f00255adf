package zone

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// leadership is the state that a leader keeps for its duties. It belongs to the control goroutine.
type leadership struct {
	lease          platform.Lease
	leaseRenewedAt time.Time
	// leaderEntryValue is the value of the leader's entry, written under the lease.
	leaderEntryValue []byte
	// zoneRevision is the revision of the zone's entry in the platform, and publishedChanges the count of member
	// changes that the entry includes.
	zoneRevision     uint64
	publishedChanges uint64
	// stopWatch ends the watches of this term.
	stopWatch context.CancelFunc
	// leaderlessSince maps each other zone without a leader at the platform to the time since when it has had none.
	leaderlessSince map[string]time.Time
	// targets maps each other zone to its leader according to the zone's last reply, and failures counts the
	// consecutive heartbeats since then without a reply that names a leader.
	targets  map[string]membership.Target
	failures map[string]int
	// contactedZonesAt is the time of the last heartbeats to other zones.
	contactedZonesAt time.Time
	// unanswered counts the consecutive heartbeats to each other zone that got no reply.
	unanswered map[string]int
	// probedDownAt is the time of the last heartbeats to members that are down.
	probedDownAt time.Time
}

func newLeadership() leadership {
	return leadership{
		leaderlessSince: map[string]time.Time{},
		targets:         map[string]membership.Target{},
		failures:        map[string]int{},

		unanswered: map[string]int{},
	}
}

// beginTerm starts a term under a new lease.
func (l *leadership) beginTerm(lease platform.Lease, requestedAt time.Time, value []byte, zoneRevision uint64) {
	l.endWatch()
	l.lease, l.leaseRenewedAt, l.leaderEntryValue, l.zoneRevision, l.publishedChanges = lease, requestedAt, value, zoneRevision, 0
	clear(l.leaderlessSince)
}

func (l *leadership) endWatch() {
	if l.stopWatch != nil {
		l.stopWatch()
		l.stopWatch = nil
	}
}

// performRole carries out the duties of the role.
func (c *Controller) performRole(ctx context.Context, role membership.Role) {
	if role == membership.Following {
		c.actAsFollower(ctx)
		return
	}
	c.markDown(ctx)
	c.probeDownMembers(ctx)
	c.contactZones(ctx)
	if role == membership.Leading {
		c.actAsLeaseHolder(ctx)
	}
}

// actAsFollower ends the watches of an earlier term. A node that follows no node of its own zone gets changes from other
// zones.
func (c *Controller) actAsFollower(ctx context.Context) {
	alone := false
	c.config.Board.Do(ctx, func(*board.Board) {
		c.leadership.endWatch()
		followed, _, _ := c.election.Followed(time.Now())
		alone = followed.Node == ""
	})
	if alone {
		c.contactZones(ctx)
	}
}

func (c *Controller) actAsLeaseHolder(ctx context.Context) {
	c.startWatches(ctx)
	var renewed time.Time
	c.config.Board.Do(ctx, func(*board.Board) { renewed = c.leadership.leaseRenewedAt })
	if time.Since(renewed) >= c.config.Timing.LeaseTTL/3 {
		c.tasks.start("renew lease", func() { c.renewLease(ctx) })
	}
	c.tasks.start("write zone", func() { c.writeZone(ctx) })
}

// markDown marks silent members down. A member that is only suspected is probed first.
func (c *Controller) markDown(ctx context.Context) {
	var suspected []membership.Target
	c.config.Board.Do(ctx, func(b *board.Board) {
		now := time.Now()
		for _, m := range b.Members.ByNode {
			if !c.mayMarkDown(b, m, now) {
				continue
			}
			if c.detector.IsDown(m.Node, now) {
				c.markMemberDown(b, m)
			} else if c.detector.IsSuspected(m.Node, now) {
				suspected = append(suspected, membership.Target{Node: m.Node, Address: m.PeerAddress})
			}
		}
	})
	for _, t := range suspected {
		c.tasks.start("probe "+t.Address, func() { c.probe(ctx, t) })
	}
}

// mayMarkDown reports whether this leader is responsible for marking the member down.
func (c *Controller) mayMarkDown(b *board.Board, m membership.Member, now time.Time) bool {
	if m.Node == b.Self.Node {
		return false
	}
	return m.Zone == b.Self.Zone || (c.role == membership.Leading && c.mayMarkZoneDown(b, m.Zone, now))
}

// mayMarkZoneDown reports whether the other zone has lost its leader, and this node's zone is the first by name of the
// zones that have one.
func (c *Controller) mayMarkZoneDown(b *board.Board, zone string, now time.Time) bool {
	since, leaderless := c.leadership.leaderlessSince[zone]
	if !leaderless || now.Sub(since) < c.config.Timing.DownTimeout {
		return false
	}
	for _, m := range b.Members.ByNode {
		if _, leaderless := c.leadership.leaderlessSince[m.Zone]; !leaderless && m.Zone < b.Self.Zone {
			return false
		}
	}
	return true
}

func (c *Controller) markMemberDown(b *board.Board, m membership.Member) {
	held, _ := c.records.Get(membership.MemberPrefix + m.Node)
	c.config.Log.Emit(events.MemberDown, events.Fields{"member": m.Node, "zone": m.Zone})
	c.offer(b, m.DownRecord(held.Version, time.Now()))
}

// probe sends a heartbeat to a suspected member, which may be alive and follow another node. A member that does not
// reply is presumed down.
func (c *Controller) probe(ctx context.Context, t membership.Target) {
	_, err := c.synchronize(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	c.config.Board.Do(ctx, func(*board.Board) {
		now := time.Now()
		switch {
		case err == nil:
			c.detector.RecordHeartbeat(t.Node, now)
		case c.detector.IsSuspected(t.Node, now):
			c.detector.PresumeDown(t.Node, now)
		}
	})
}

// probeDownMembers sends heartbeats to the zone's members that are down. A member that restarted while the platform is
// unreachable knows no other nodes.
func (c *Controller) probeDownMembers(ctx context.Context) {
	var targets []membership.Target
	c.config.Board.Do(ctx, func(b *board.Board) {
		if time.Since(c.leadership.probedDownAt) < retryInterval {
			return
		}
		c.leadership.probedDownAt = time.Now()
		for _, m := range c.members {
			if m.Zone == b.Self.Zone && m.State == membership.Down {
				targets = append(targets, membership.Target{Node: m.Node, Address: m.PeerAddress})
			}
		}
	})
	for _, t := range targets {
		c.tasks.start("probe "+t.Address, func() { _, _ = c.synchronize(ctx, t.Address) })
	}
}

// contactZones sends a heartbeat to the leader of each other zone. While the platform is reachable, changes cross zones
// through the platform, and the heartbeats are less frequent in a fleet of many zones.
func (c *Controller) contactZones(ctx context.Context) {
	targets := map[string]membership.Target{}
	c.config.Board.Do(ctx, func(b *board.Board) {
		if time.Since(c.leadership.contactedZonesAt) < c.interZoneHeartbeatPeriod(b) {
			return
		}
		c.leadership.contactedZonesAt = time.Now()
		for _, m := range b.Members.ByNode {
			if m.Zone != b.Self.Zone {
				targets[m.Zone] = c.zoneTarget(b, m.Zone)
			}
		}
	})
	for zone, t := range targets {
		c.tasks.start("zone "+zone, func() { c.contactZone(ctx, zone, t) })
	}
}

// interZoneHeartbeatPeriod returns the time between heartbeats to each other zone.
func (c *Controller) interZoneHeartbeatPeriod(b *board.Board) time.Duration {
	if !b.Platform.Reachable || c.role != membership.Leading {
		return c.config.Timing.InterZoneHeartbeatPeriod
	}
	zones := map[string]bool{}
	for _, m := range b.Members.ByNode {
		zones[m.Zone] = true
	}
	return membership.InterZoneHeartbeatPeriod(c.config.Timing.InterZoneHeartbeatPeriod, len(zones)-1)
}

// zoneTarget returns the node to contact in the zone: its leader according to the last reply or, after failures,
// alternately the leader named in the zone's record and one member after the other.
func (c *Controller) zoneTarget(b *board.Board, zone string) membership.Target {
	failures := c.leadership.failures[zone]
	if t, known := c.leadership.targets[zone]; known && failures == 0 {
		return t
	}
	if r, found := c.records.Get(LeaderPrefix + zone); found && failures%2 == 0 {
		v := parseLeader(r.Value)
		return membership.Target{Node: v.Node, Address: v.PeerAddress}
	}
	members := b.Members.SortedInZone(zone)
	m := members[failures/2%len(members)]
	return membership.Target{Node: m.Node, Address: m.PeerAddress}
}

func (c *Controller) contactZone(ctx context.Context, zone string, t membership.Target) {
	reply, err := c.synchronize(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.recordZoneContact(b, zone, err == nil)
		knowsLeader := reply.Leads || reply.Leader.Node != ""
		if err != nil || !knowsLeader {
			c.leadership.failures[zone]++
			return
		}
		c.leadership.failures[zone] = 0
		c.leadership.targets[zone] = t
		c.link(t.Address, time.Now()).sendsHeartbeats = reply.Leads && c.role != membership.Following
		if !reply.Leads {
			c.leadership.targets[zone] = reply.Leader
		}
	})
}

// zoneValue is the value of a zone's entry in the platform: the records of its members.
type zoneValue struct {
	// Term is the term of the leader that wrote the entry.
	Term    uint64              `json:"term"`
	Records []membership.Record `json:"records"`
}

func decodeZone(e platform.Entry) []membership.Record {
	var v zoneValue
	if json.Unmarshal(e.Value, &v) != nil {
		return nil
	}
	return v.Records
}

// writeZone writes the records of the zone's members in one entry if they changed. The expected revision is the last
// one that this leader saw, so the write of a leader that was paused while another wrote is refused.
func (c *Controller) writeZone(ctx context.Context) {
	var value zoneValue
	var changes uint64
	var swap platform.Swap
	c.config.Board.Do(ctx, func(b *board.Board) {
		changes = c.zoneChanges
		if changes == c.leadership.publishedChanges || !c.election.HoldsLease(time.Now()) {
			return
		}
		value = zoneValue{Term: c.election.Term(), Records: c.zoneRecords(b.Self.Zone)}
		swap = platform.Swap{Key: zonePrefix + b.Self.Zone, Expected: c.leadership.zoneRevision}
	})
	if len(value.Records) == 0 {
		return
	}
	var err error
	if swap.Value, err = json.Marshal(value); err != nil {
		return
	}
	entry, err := c.config.Platform.CompareAndSwap(ctx, swap)
	c.recordPlatformResult(ctx, err)
	if err != nil {
		c.rereadZone(ctx, swap.Key, value.Term)
		return
	}
	c.config.Board.Do(ctx, func(*board.Board) {
		c.leadership.zoneRevision = entry.Revision
		c.leadership.publishedChanges = changes
	})
}

// rereadZone reads the zone's entry after a failed write. If a leader with a later term wrote it, this node resigns.
func (c *Controller) rereadZone(ctx context.Context, key string, term uint64) {
	entry, err := c.config.Platform.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	var stored zoneValue
	_ = json.Unmarshal(entry.Value, &stored) // An absent or unreadable value has term 0.
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.merge(b, stored.Records...)
		c.leadership.zoneRevision = entry.Revision
		if stored.Term > term {
			c.election.RecordLeaseLost()
		}
	})
}

// zoneRecords returns the records of the zone's members, sorted by node name.
func (c *Controller) zoneRecords(zone string) []membership.Record {
	var records []membership.Record
	for _, node := range slices.Sorted(maps.Keys(c.members)) {
		r, found := c.records.Get(membership.MemberPrefix + node)
		if found && c.members[node].Zone == zone {
			records = append(records, r)
		}
	}
	return records
}
