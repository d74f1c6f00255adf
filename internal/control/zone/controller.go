// Package zone speaks to the other nodes about control state: heartbeats to the leader of the availability zone,
// and the exchange of records by which members and documents spread.
//
// One node of each availability zone leads it. It alone reads and writes the platform for the zone; the others get
// everything from it, so that the platform's load grows with the zones and not with the nodes.
//
// # Usage
//
//	c := zone.NewController(zone.Config{...})
//	c.Run(ctx)
package zone

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// Keys in the platform.
const (
	leaderPrefix   = "leader/"
	zonePrefix     = "zone/"
	DocumentPrefix = "document/"
)

// Config sets a Controller up.
type Config struct {
	Board    *board.Loop
	Platform *platform.Client
	Peers    *Client
	Log      *events.Log
	Timing   Timing
	// Sections are kinds of records that other controllers own, by the prefix of their keys.
	Sections map[string]Section
	// Incarnation is the time of the node's start; it orders the records of one node across restarts.
	Incarnation uint64
}

// Section says how one kind of records comes from the platform and gets onto the board.
type Section struct {
	// Decode returns the records in an entry of the platform.
	Decode func(platform.Entry) []membership.Record
	// Publish renews the board. It runs in the control goroutine.
	Publish func(b *board.Board, changed []membership.Record)
}

// Timing holds the intervals of the control plane.
type Timing struct {
	// Beat is the time between heartbeats.
	Beat time.Duration
	// DownAfter is the silence after which a member is down.
	DownAfter time.Duration
	// LeaseTTL is the term of the leader's lease.
	LeaseTTL time.Duration
	// WatchWait is how long one watch waits at the platform.
	WatchWait time.Duration
}

// DefaultTiming holds where nothing else is set.
var DefaultTiming = Timing{
	Beat:      250 * time.Millisecond,
	DownAfter: 1500 * time.Millisecond,
	LeaseTTL:  3 * time.Second,
	WatchWait: 20 * time.Second,
}

// Controller keeps the node's records in step with the others'. The records, the detector and the lease belong to
// the control goroutine: they are touched only in functions posted to the board's loop.
type Controller struct {
	config    Config
	records   *membership.Records
	detector  *membership.Detector
	sections  map[string]Section
	sequence  uint64
	own       membership.Member
	published uint64

	// The fields below belong to the goroutine of Run.
	lease       platform.Lease
	renewed     time.Time
	zoneEntry   platform.Entry
	lastBeat    time.Time
	watching    bool
	watchCancel context.CancelFunc
	group       conc.WaitGroup
}

// NewController returns a controller.
func NewController(config Config) *Controller {
	c := &Controller{
		config:   config,
		records:  membership.NewRecords(),
		detector: membership.NewDetector(config.Timing.DownAfter),
		sections: map[string]Section{},
	}
	maps.Copy(c.sections, config.Sections)
	c.sections[membership.MemberPrefix] = Section{Publish: c.publishMembers}
	c.sections[zonePrefix] = Section{Decode: decodeZone}
	c.sections[DocumentPrefix] = Section{Decode: decodeDocument, Publish: c.publishDocuments}
	c.sections[leaderPrefix] = Section{Decode: decodeLeader}
	return c
}

// Run works until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.config.Timing.Beat)
	defer ticker.Stop()
	defer c.group.Wait()
	for {
		c.tick(ctx)
		select {
		case <-ctx.Done():
			c.stopWatching()
			return
		case <-ticker.C:
		}
	}
}

func (c *Controller) tick(ctx context.Context) {
	c.refreshSelf(ctx)
	leader := c.config.Board.Snapshot().Leader
	if leader.IsSelf {
		c.lead(ctx)
		return
	}
	if leader.Node != "" && c.follow(ctx, leader) {
		c.lastBeat = time.Now()
		return
	}
	if time.Since(c.lastBeat) > c.config.Timing.DownAfter {
		c.elect(ctx)
	}
}

// refreshSelf renews the node's own record where the board shows that it changed.
func (c *Controller) refreshSelf(ctx context.Context) {
	c.config.Board.Do(ctx, func(b *board.Board) {
		own := selfMember(b)
		held, _ := c.records.Get(membership.MemberPrefix + own.Node)
		mine := membership.Version{Epoch: c.config.Incarnation, Sequence: c.sequence}
		if own == c.own && held.Version.Compare(mine) == 0 {
			return
		}
		c.own = own
		c.sequence = max(c.sequence, held.Version.Sequence) + 1
		c.merge(b, own.Record(membership.Version{Epoch: c.config.Incarnation, Sequence: c.sequence}))
	})
}

func selfMember(b *board.Board) membership.Member {
	state := membership.Up
	if b.Self.Draining || b.Backend.Leaving {
		state = membership.Leaving
	}
	return membership.Member{
		Node:          b.Self.Node,
		Incarnation:   b.Self.Incarnation,
		Zone:          b.Self.Zone,
		Region:        b.Self.Region,
		PeerAddress:   b.Self.PeerAddress,
		CallerAddress: b.Self.CallerAddress,
		Service:       b.Backend.Service,
		Slots:         b.Backend.Slots,
		Connections:   b.Backend.Connections,
		State:         state,
		Successor:     b.Self.Successor,
		AnswersFor:    b.Self.AnswersFor,
	}
}

// follow sends a heartbeat to the leader and fetches what has changed.
func (c *Controller) follow(ctx context.Context, leader board.Leader) bool {
	digest, ok := c.beat(ctx, leader.PeerAddress)
	if !ok {
		return false
	}
	c.reconcile(ctx, leader.PeerAddress, digest)
	return true
}

func (c *Controller) beat(ctx context.Context, address string) (uint64, bool) {
	var self membership.Record
	var digest uint64
	c.config.Board.Do(ctx, func(b *board.Board) {
		self, _ = c.records.Get(membership.MemberPrefix + b.Self.Node)
		digest = c.records.Digest()
	})
	reply, err := c.config.Peers.Beat(ctx, address, self, digest)
	if err != nil {
		return 0, false
	}
	return reply, true
}

// reconcile exchanges records with the node at the address where the digests differ.
func (c *Controller) reconcile(ctx context.Context, address string, digest uint64) {
	var versions map[string]membership.Version
	c.config.Board.Do(ctx, func(*board.Board) {
		if c.records.Digest() != digest {
			versions = c.records.Versions()
		}
	})
	if versions == nil {
		return
	}
	answer, err := c.config.Peers.Exchange(ctx, address, versions, nil)
	if err != nil {
		return
	}
	var offered []membership.Record
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.merge(b, answer.Newer...)
		for _, key := range answer.Wanted {
			if r, ok := c.records.Get(key); ok {
				offered = append(offered, r)
			}
		}
	})
	if len(offered) > 0 {
		_, _ = c.config.Peers.Exchange(ctx, address, nil, offered)
	}
}

// merge takes records in and renews the sections of the board that they concern. It runs in the control goroutine.
func (c *Controller) merge(b *board.Board, received ...membership.Record) {
	changed := c.records.Merge(received...)
	if len(changed) == 0 {
		return
	}
	c.publish(b, changed)
}

// Offer takes in records that were made here, such as a document just written to the platform, and spreads them.
func (c *Controller) Offer(ctx context.Context, records ...membership.Record) {
	c.config.Board.Do(ctx, func(b *board.Board) { c.merge(b, records...) })
}

// elect reads who leads, or takes the lead where nobody does.
func (c *Controller) elect(ctx context.Context) {
	self := c.config.Board.Snapshot().Self
	entry, err := c.config.Platform.Get(ctx, leaderPrefix+self.Zone)
	if err == nil {
		c.setLeader(ctx, entry)
		return
	}
	if !errors.Is(err, platform.ErrNotFound) {
		c.platformState(ctx, false)
		return
	}
	c.platformState(ctx, true)
	c.takeLead(ctx, self)
}

func (c *Controller) takeLead(ctx context.Context, self board.Self) {
	lease, err := c.config.Platform.GrantLease(ctx, c.config.Timing.LeaseTTL)
	if err != nil {
		return
	}
	value, err := json.Marshal(leaderValue{Node: self.Node, PeerAddress: self.PeerAddress})
	if err != nil {
		return
	}
	entry, err := c.config.Platform.CompareAndSwap(ctx, platform.Swap{Key: leaderPrefix + self.Zone, Value: value, Lease: lease.ID})
	if err != nil {
		return
	}
	c.lease = lease
	c.renewed = time.Now()
	c.zoneEntry = platform.Entry{}
	c.published = 0
	c.setLeader(ctx, entry)
	c.config.Log.Emit(events.LeaderElected, events.Fields{"zone": self.Zone})
}

// leaderValue is what a leader writes under its lease.
type leaderValue struct {
	Node        string `json:"node"`
	PeerAddress string `json:"peer_address"`
}

func (c *Controller) setLeader(ctx context.Context, entry platform.Entry) {
	var v leaderValue
	if json.Unmarshal(entry.Value, &v) != nil {
		return
	}
	c.config.Board.Do(ctx, func(b *board.Board) {
		isSelf := v.Node == b.Self.Node && c.lease.ID != ""
		b.Leader = board.Leader{Node: v.Node, PeerAddress: v.PeerAddress, IsSelf: isSelf}
	})
}

func (c *Controller) platformState(ctx context.Context, reachable bool) {
	if c.config.Board.Snapshot().Platform.Reachable == reachable {
		return
	}
	number := events.PlatformLost
	if reachable {
		number = events.PlatformBack
	}
	c.config.Log.Emit(number, nil)
	c.config.Board.Post(ctx, func(b *board.Board) {
		b.Platform = board.Platform{Reachable: reachable, Since: time.Now()}
	})
}
