// Package zone replicates control state between nodes. Members and documents spread through heartbeats to the leader of
// the availability zone. Nodes also compare digests, to find and exchange records that the heartbeats missed.
//
// Each availability zone has one leader. Only the leader reads and writes the platform on behalf of its zone, and the
// other nodes get everything from it, so the platform's load grows with the number of zones and not with the number of
// nodes. The leaders of different zones also exchange heartbeats, so changes cross zones while the platform is
// unreachable. Without the platform, a zone still has a leader: it spreads changes, but holds no lease and writes
// nothing.
//
// # Usage
//
//	c := zone.NewController(zone.Config{...})
//	c.Run(ctx)
//
// Other packages of the node publish records with Offer and register their own kinds of records in Config.Sections.
package zone

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// Key prefixes in the platform's key-value store.
const (
	LeaderPrefix   = "leader/"
	zonePrefix     = "zone/"
	DocumentPrefix = "document/"
)

// Config configures a Controller.
type Config struct {
	Board    *board.Loop
	Platform *platform.Client
	Peers    *Client
	Log      *events.Log
	Timing   Timing
	// Seeds are addresses of nodes that this node joins through while the platform is unreachable.
	Seeds []string
	// Sections holds the kinds of records that other controllers own, by key prefix.
	Sections map[string]Section
	// Incarnation is the node's start time. It orders the records of one node across restarts.
	Incarnation uint64
}

// Section describes how one kind of records is read from the platform and published on the board.
type Section struct {
	// Decode returns the records in a platform entry.
	Decode func(platform.Entry) []membership.Record
	// Publish updates the board with the changed records. It runs in the control goroutine.
	Publish func(b *board.Board, changed []membership.Record)
	// Structure returns the part of a value that a renewal leaves unchanged. It is set for records that are renewed
	// continuously, and nil for others. A zone's renewals go to its own members and to the leaders of the other zones;
	// structural changes go to all nodes.
	Structure func(value []byte) membership.Structure
}

// renewalRules returns a rule for each section whose records are renewed continuously.
func renewalRules(sections map[string]Section) []membership.RenewalRule {
	var rules []membership.RenewalRule
	for prefix, section := range sections {
		if section.Structure != nil {
			rules = append(rules, membership.RenewalRule{Prefix: prefix, Structure: section.Structure})
		}
	}
	return rules
}

// Timing holds the intervals and timeouts of the control plane.
type Timing struct {
	// HeartbeatPeriod is the time between heartbeats in a small zone.
	HeartbeatPeriod time.Duration
	// FollowTimeout is the time without a reply after which a node stops following a leader.
	FollowTimeout time.Duration
	// DownTimeout is the time after which a member that has sent neither a heartbeat nor a record of its own is down.
	DownTimeout time.Duration
	// LeaseTTL is how long the leader's lease is valid without a renewal.
	LeaseTTL time.Duration
	// WatchTimeout limits how long the platform holds one watch of the documents open. Between two watches the leader
	// checks whether the platform was rolled back to older content.
	WatchTimeout time.Duration
	// InterZoneHeartbeatPeriod is the time between heartbeats to the leader of each other zone, in a fleet of few
	// zones.
	InterZoneHeartbeatPeriod time.Duration
}

// DefaultTiming is the timing used unless configured otherwise.
var DefaultTiming = Timing{
	HeartbeatPeriod:          250 * time.Millisecond,
	FollowTimeout:            750 * time.Millisecond,
	DownTimeout:              1200 * time.Millisecond,
	LeaseTTL:                 1500 * time.Millisecond,
	WatchTimeout:             2 * time.Second,
	InterZoneHeartbeatPeriod: time.Second,
}

const (
	// retryInterval is the time before a node that did not reply is contacted again.
	retryInterval = 2 * time.Second
	// candidateCount is the number of nodes that read the platform in a zone without a leader.
	candidateCount = 3
	// expiryCheckInterval is the time between checks for expired records.
	expiryCheckInterval = time.Minute
)

// Counts holds the controller's counters for metrics.
type Counts struct {
	HeartbeatsSent     uint64 `json:"beats_sent"`
	HeartbeatsReceived uint64 `json:"beats_received"`
	// Repairs counts the digest comparisons started because digests still differed after heartbeats.
	Repairs       uint64 `json:"repairs"`
	PlatformCalls uint64 `json:"platform_calls"`
}

// Controller synchronizes the node's records with those of other nodes. All fields below tasks belong to the control
// goroutine: they are accessed only in functions posted to the board's loop.
type Controller struct {
	config   Config
	sections map[string]Section
	wakeup   chan struct{}
	tasks    *tasks

	records  *membership.Records
	detector *membership.Detector
	election *membership.Election
	role     membership.Role
	// logID identifies this process's log of changes to other nodes.
	logID       uint64
	incarnation uint64
	sequence    uint64
	own         membership.Member
	// members holds the decoded records of all members, including those that are down.
	members map[string]membership.Member
	// zoneChanges counts the changes to records of the zone's members.
	zoneChanges     uint64
	ownRenewedAt    time.Time
	links           map[string]*link
	leadership      leadership
	expiryCheckedAt time.Time
	counts          Counts
}

// NewController returns a controller that holds no records yet.
func NewController(config Config) *Controller {
	c := &Controller{
		config:      config,
		sections:    map[string]Section{},
		wakeup:      make(chan struct{}, 1),
		tasks:       newTasks(),
		records:     membership.NewRecords(renewalRules(config.Sections)...),
		detector:    membership.NewDetector(config.Timing.DownTimeout),
		role:        membership.Following,
		logID:       config.Incarnation,
		incarnation: config.Incarnation,
		links:       map[string]*link{},
		members:     map[string]membership.Member{},
		leadership:  newLeadership(),
	}
	c.election = membership.NewElection(membership.ElectionConfig{
		Node:          config.Board.Snapshot().Self.Node,
		FollowTimeout: config.Timing.FollowTimeout,
		RetryInterval: retryInterval,
		Candidates:    candidateCount,
	})
	maps.Copy(c.sections, config.Sections)
	c.sections[membership.MemberPrefix] = Section{Publish: c.publishMembers}
	c.sections[zonePrefix] = Section{Decode: decodeZone}
	c.sections[DocumentPrefix] = Section{Decode: decodeDocument, Publish: c.publishDocuments}
	c.sections[LeaderPrefix] = Section{Decode: decodeLeader}
	c.sections[reachPrefix] = Section{Publish: publishReach}
	return c
}

// Run runs the controller until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.tasks.wait()
	defer cancel()
	for ctx.Err() == nil {
		c.tick(ctx)
		c.waitForTick(ctx)
	}
}

// waitForTick waits until the next heartbeat is due or wake is called.
func (c *Controller) waitForTick(ctx context.Context) {
	b := c.config.Board.Snapshot()
	timer := time.NewTimer(membership.HeartbeatPeriod(c.config.Timing.HeartbeatPeriod, b.Members.CountInZone(b.Self.Zone)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.wakeup:
	case <-timer.C:
	}
}

func (c *Controller) tick(ctx context.Context) {
	var plan membership.Plan
	c.config.Board.Do(ctx, func(b *board.Board) {
		c.dropExpired(time.Now())
		c.refreshOwnRecord(b)
		plan = c.plan(b)
	})
	for _, t := range plan.HeartbeatTargets {
		c.tasks.start("heartbeat "+t.Address, func() { c.sendHeartbeat(ctx, t) })
	}
	if plan.ReadPlatform {
		c.tasks.start("read leader", func() { c.readLeader(ctx) })
	}
	if plan.Role != membership.Leading && len(plan.HeartbeatTargets) == 0 {
		c.contactSeeds(ctx)
	}
	c.performRole(ctx, plan.Role)
}

// plan asks the election for the next steps and publishes the role and the leader on the board. It runs in the control
// goroutine.
func (c *Controller) plan(b *board.Board) membership.Plan {
	now := time.Now()
	plan := c.election.Plan(now, c.peersInZone(b))
	if b.Self.Draining && plan.Role != membership.Leading {
		plan.ReadPlatform = false
	}
	if plan.Role != c.role {
		c.changeRole(b, plan.Role)
	}
	c.publishLeader(b, now)
	return plan
}

// peersInZone returns the other members of the zone that may lead it.
func (c *Controller) peersInZone(b *board.Board) []membership.Member {
	var peers []membership.Member
	for _, m := range b.Members.ByNode {
		if m.Zone == b.Self.Zone && m.Node != b.Self.Node && m.State == membership.Up {
			peers = append(peers, m)
		}
	}
	return peers
}

// changeRole sets the role and logs the change.
func (c *Controller) changeRole(b *board.Board, role membership.Role) {
	previous := c.role
	c.role = role
	switch {
	case role == membership.Leading:
		c.config.Log.Emit(events.LeaderElected, events.Fields{"zone": b.Self.Zone, "term": c.election.Term()})
	case previous == membership.Leading:
		c.config.Log.Emit(events.LeaderLost, events.Fields{"zone": b.Self.Zone, "term": c.election.Term()})
	case role == membership.Spreading:
		c.config.Log.Emit(events.LeaderUnleased, events.Fields{"zone": b.Self.Zone})
	}
}

// publishLeader updates the leader on the board.
func (c *Controller) publishLeader(b *board.Board, now time.Time) {
	leader := board.Leader{Role: c.role}
	followed, leads, leased := c.election.Followed(now)
	switch {
	case c.role != membership.Following:
		leader.Node, leader.PeerAddress = b.Self.Node, b.Self.PeerAddress
		leader.IsSelf = c.role == membership.Leading
		leader.Leased = leader.IsSelf
		leader.Term = c.election.Term()
	case leads:
		leader.Node, leader.PeerAddress, leader.Leased = followed.Node, followed.Address, leased
	}
	if leader != b.Leader {
		b.Leader = leader
	}
}

// refreshOwnRecord updates the node's own record after a change on the board, and overrides a record that marks the node
// down. A node that reaches its leader only through another node also renews its record periodically, which shows the
// leader that it is alive.
func (c *Controller) refreshOwnRecord(b *board.Board) {
	own := selfMember(b)
	held, _ := c.records.Get(membership.MemberPrefix + own.Node)
	if held.Version.Epoch > c.incarnation {
		c.incarnation = held.Version.Epoch + 1 // The clock went back since the node last ran.
	}
	now := time.Now()
	followed, leads, _ := c.election.Followed(now)
	relayed := followed.Node != "" && !leads
	renewalDue := relayed && now.Sub(c.ownRenewedAt) > c.config.Timing.HeartbeatPeriod
	ownVersion := membership.Version{Epoch: c.incarnation, Sequence: c.sequence}
	if own == c.own && held.Version.Compare(ownVersion) == 0 && !renewalDue {
		return
	}
	marked := held.Version.Epoch == c.incarnation && membership.IsDownMark(held.Version)
	if marked && c.role == membership.Following && followed.Node == "" {
		return // The leader can't reach the node and would only mark it down again.
	}
	if held.Version.Epoch == c.incarnation {
		c.sequence = max(c.sequence, held.Version.Sequence)
	}
	c.own = own
	c.ownRenewedAt = now
	c.sequence = membership.NextOwnSequence(c.sequence)
	c.offer(b, own.Record(membership.Version{Epoch: c.incarnation, Sequence: c.sequence}))
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
		Connections:   b.Backend.MaxConnections,
		State:         state,
		BackendLost:   b.Backend.IsLost(),
		Successor:     b.Self.Successor,
		AnswersFor:    b.Self.AnswersFor,
	}
}

// merge merges received records and updates the affected sections of the board. It runs in the control goroutine.
func (c *Controller) merge(b *board.Board, received ...membership.Record) {
	now := time.Now()
	received = slices.DeleteFunc(received, func(r membership.Record) bool { return !hasMatchingVersion(r) || isExpiredMember(r, now) })
	changed := c.records.Merge(received...)
	if len(changed) > 0 {
		c.publish(b, changed)
	}
}

// isExpiredMember reports whether the record is that of an expired member, or a member record that cannot be parsed.
func isExpiredMember(r membership.Record, now time.Time) bool {
	if !strings.HasPrefix(r.Key, membership.MemberPrefix) {
		return false
	}
	m, err := membership.ParseMember(r)
	return err != nil || m.IsExpired(now)
}

// dropExpired drops the records of members that have been down longer than the retention time. It runs in the control
// goroutine.
func (c *Controller) dropExpired(now time.Time) {
	if now.Sub(c.expiryCheckedAt) < expiryCheckInterval {
		return
	}
	c.expiryCheckedAt = now
	for node, m := range c.members {
		if m.IsExpired(now) {
			c.records.Drop(membership.MemberPrefix + node)
			c.detector.Forget(node)
			delete(c.members, node)
			c.zoneChanges++
		}
	}
}

// offer merges records made on this node and queues them for the next heartbeat on each link.
func (c *Controller) offer(b *board.Board, records ...membership.Record) {
	c.merge(b, records...)
	for _, l := range c.links {
		l.offer(records)
	}
}

// Offer merges records made on this node, such as a document just written to the platform, and sends them to other
// nodes.
func (c *Controller) Offer(ctx context.Context, records ...membership.Record) {
	c.config.Board.Do(ctx, func(b *board.Board) { c.offer(b, records...) })
	c.wake()
}

// wake makes the next heartbeat due immediately.
func (c *Controller) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}
