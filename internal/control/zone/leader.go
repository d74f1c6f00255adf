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

// leadership is what a leader keeps for its duties. It belongs to the control goroutine.
type leadership struct {
	lease   platform.Lease
	renewed time.Time
	// value is what the leader wrote under the lease.
	value []byte
	// zoneRevision is that of the zone's entry, and published how many changes of the members are in it.
	zoneRevision uint64
	published    uint64
	// stopWatch ends the watch of this term.
	stopWatch context.CancelFunc
	// lapsed holds the other zones without a leader at the platform, and since when.
	lapsed map[string]time.Time
	// targets has where each other zone was reached last, and tries how often it was not since.
	targets map[string]membership.Target
	tries   map[string]int
	met     time.Time
	// unanswered counts the heartbeats in a row to each other zone that had no answer.
	unanswered map[string]int
	// sought is when the members that are down were looked for.
	sought time.Time
}

func newLeadership() leadership {
	return leadership{
		lapsed:  map[string]time.Time{},
		targets: map[string]membership.Target{},
		tries:   map[string]int{},

		unanswered: map[string]int{},
	}
}

// begin takes over under a new lease.
func (l *leadership) begin(lease platform.Lease, asked time.Time, value []byte, zoneRevision uint64) {
	l.end()
	l.lease, l.renewed, l.value, l.zoneRevision, l.published = lease, asked, value, zoneRevision, 0
	clear(l.lapsed)
}

func (l *leadership) end() {
	if l.stopWatch != nil {
		l.stopWatch()
		l.stopWatch = nil
	}
}

// leadZone does what the role asks for.
func (c *Controller) leadZone(ctx context.Context, role membership.Role) {
	if role == membership.Following {
		c.followOnly(ctx)
		return
	}
	c.markDown(ctx)
	c.seekDown(ctx)
	c.meetZones(ctx)
	if role == membership.Leading {
		c.leadAtPlatform(ctx)
	}
}

// followOnly ends the watch of an earlier term. A node that reaches nobody of its zone gets changes from other zones.
func (c *Controller) followOnly(ctx context.Context) {
	alone := false
	c.config.Board.Do(ctx, func(*board.Board) {
		c.lead.end()
		followed, _, _ := c.election.Followed(time.Now())
		alone = followed.Node == ""
	})
	if alone {
		c.meetZones(ctx)
	}
}

func (c *Controller) leadAtPlatform(ctx context.Context) {
	c.startWatching(ctx)
	var renewed time.Time
	c.config.Board.Do(ctx, func(*board.Board) { renewed = c.lead.renewed })
	if time.Since(renewed) >= c.config.Timing.LeaseTTL/3 {
		c.tasks.start("renew lease", func() { c.renewLease(ctx) })
	}
	c.tasks.start("write zone", func() { c.writeZone(ctx) })
}

// markDown marks the members that are silent and answer no heartbeat either.
func (c *Controller) markDown(ctx context.Context) {
	var doubtful []membership.Target
	c.config.Board.Do(ctx, func(b *board.Board) {
		now := time.Now()
		for _, m := range b.Members.ByNode {
			if !c.judges(b, m, now) {
				continue
			}
			if c.detector.IsDown(m.Node, now) {
				c.markMember(b, m)
			} else if c.detector.IsSuspected(m.Node, now) {
				doubtful = append(doubtful, membership.Target{Node: m.Node, Address: m.PeerAddress})
			}
		}
	})
	for _, t := range doubtful {
		c.tasks.start("probe "+t.Address, func() { c.probe(ctx, t) })
	}
}

// judges reports whether it is this leader's part to say that the member is down.
func (c *Controller) judges(b *board.Board, m membership.Member, now time.Time) bool {
	if m.Node == b.Self.Node {
		return false
	}
	return m.Zone == b.Self.Zone || (c.role == membership.Leading && c.judgesZone(b, m.Zone, now))
}

// judgesZone reports whether the other zone has lost its leader, and this one is the first of those that have one.
func (c *Controller) judgesZone(b *board.Board, zone string, now time.Time) bool {
	since, lapsed := c.lead.lapsed[zone]
	if !lapsed || now.Sub(since) < c.config.Timing.DownAfter {
		return false
	}
	for _, m := range b.Members.ByNode {
		if _, lapsed := c.lead.lapsed[m.Zone]; !lapsed && m.Zone < b.Self.Zone {
			return false
		}
	}
	return true
}

func (c *Controller) markMember(b *board.Board, m membership.Member) {
	held, _ := c.records.Get(membership.MemberPrefix + m.Node)
	c.config.Log.Emit(events.MemberDown, events.Fields{"member": m.Node, "zone": m.Zone})
	c.offer(b, m.DownRecord(held.Version, time.Now()))
}

// probe sends a heartbeat to a silent member, which may be alive and follow somebody else. One that does not answer
// either is down.
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

// seekDown sends heartbeats to the zone's members that are down: one that started again while the platform is away
// knows nobody.
func (c *Controller) seekDown(ctx context.Context) {
	var targets []membership.Target
	c.config.Board.Do(ctx, func(b *board.Board) {
		if time.Since(c.lead.sought) < askAgain {
			return
		}
		c.lead.sought = time.Now()
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

// meetZones sends a heartbeat to the leader of each other zone. While the platform answers, it brings what the zones
// have to tell each other, and in a fleet of many zones the heartbeats come more seldom.
func (c *Controller) meetZones(ctx context.Context) {
	targets := map[string]membership.Target{}
	c.config.Board.Do(ctx, func(b *board.Board) {
		if time.Since(c.lead.met) < c.meetPeriod(b) {
			return
		}
		c.lead.met = time.Now()
		for _, m := range b.Members.ByNode {
			if m.Zone != b.Self.Zone {
				targets[m.Zone] = c.zoneTarget(b, m.Zone)
			}
		}
	})
	for zone, t := range targets {
		c.tasks.start("zone "+zone, func() { c.meetZone(ctx, zone, t) })
	}
}

func (c *Controller) meetPeriod(b *board.Board) time.Duration {
	if !b.Platform.Reachable || c.role != membership.Leading {
		return c.config.Timing.ZoneBeat
	}
	zones := map[string]bool{}
	for _, m := range b.Members.ByNode {
		zones[m.Zone] = true
	}
	return membership.InterZoneHeartbeatPeriod(c.config.Timing.ZoneBeat, len(zones)-1)
}

// zoneTarget returns where to reach the zone: where it was reached last, the leader that its record names, or after
// failures one member after the other.
func (c *Controller) zoneTarget(b *board.Board, zone string) membership.Target {
	tries := c.lead.tries[zone]
	if t, known := c.lead.targets[zone]; known && tries == 0 {
		return t
	}
	if r, found := c.records.Get(LeaderPrefix + zone); found && tries%2 == 0 {
		v := parseLeader(r.Value)
		return membership.Target{Node: v.Node, Address: v.PeerAddress}
	}
	members := b.Members.SortedInZone(zone)
	m := members[tries/2%len(members)]
	return membership.Target{Node: m.Node, Address: m.PeerAddress}
}

func (c *Controller) meetZone(ctx context.Context, zone string, t membership.Target) {
	answer, err := c.synchronize(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.met(b, zone, err == nil)
		knowsLeader := answer.Leads || answer.Leader.Node != ""
		if err != nil || !knowsLeader {
			c.lead.tries[zone]++
			return
		}
		c.lead.tries[zone] = 0
		c.lead.targets[zone] = t
		c.link(t.Address, time.Now()).pulls = answer.Leads && c.role != membership.Following
		if !answer.Leads {
			c.lead.targets[zone] = answer.Leader
		}
	})
}

// zoneValue is the batch of a zone's member records in the platform.
type zoneValue struct {
	// Term is that of the leader that wrote the batch.
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

// writeZone writes the records of the zone's members in one batch where they changed. The expected revision is the
// one that this leader saw last: a leader that was paused finds another there, and writes nothing.
func (c *Controller) writeZone(ctx context.Context) {
	var value zoneValue
	var changes uint64
	var swap platform.Swap
	c.config.Board.Do(ctx, func(b *board.Board) {
		changes = c.zoneChanges
		if changes == c.lead.published || !c.election.HoldsLease(time.Now()) {
			return
		}
		value = zoneValue{Term: c.election.Term(), Records: c.zoneRecords(b.Self.Zone)}
		swap = platform.Swap{Key: zonePrefix + b.Self.Zone, Expected: c.lead.zoneRevision}
	})
	if len(value.Records) == 0 {
		return
	}
	var err error
	if swap.Value, err = json.Marshal(value); err != nil {
		return
	}
	entry, err := c.config.Platform.CompareAndSwap(ctx, swap)
	c.answered(ctx, err)
	if err != nil {
		c.rereadZone(ctx, swap.Key, value.Term)
		return
	}
	c.config.Board.Do(ctx, func(*board.Board) {
		c.lead.zoneRevision = entry.Revision
		c.lead.published = changes
	})
}

// rereadZone finds out why the zone's entry was not the expected one. Where a later leader wrote it, this one resigns.
func (c *Controller) rereadZone(ctx context.Context, key string, term uint64) {
	entry, err := c.config.Platform.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return
	}
	var stored zoneValue
	_ = json.Unmarshal(entry.Value, &stored) // An absent or unreadable value has no term.
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.merge(b, stored.Records...)
		c.lead.zoneRevision = entry.Revision
		if stored.Term > term {
			c.election.RecordLeaseLost()
		}
	})
}

// zoneRecords returns the records of the zone's members, by name.
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
