package membership

import (
	"cmp"
	"slices"
	"time"
)

// Role is the role of a node in its availability zone.
type Role string

const (
	// Following nodes get records from the leader, or from another node that follows the leader.
	Following Role = "following"
	// Spreading nodes lead without a lease while the platform is unreachable: they distribute records in the zone,
	// but write none to the platform.
	Spreading Role = "spreading"
	// Leading nodes hold the lease that the platform grants.
	Leading Role = "leading"
)

// Target is a node that heartbeats are sent to.
type Target struct {
	Node    string
	Address string
}

// Lease is the right to lead the zone, as its holder knows it.
type Lease struct {
	Term uint64
	// Until is when the lease expires by the holder's clock, counted from before the holder asked for it.
	Until time.Time
}

// ElectionConfig configures an Election.
type ElectionConfig struct {
	Node string
	// FollowTimeout is the time without a reply after which a node no longer follows its leader.
	FollowTimeout time.Duration
	// RetryInterval is the time after which an unresponsive node is asked again. It is also the time between two
	// searches for a better leader.
	RetryInterval time.Duration
	// Candidates is how many nodes of a zone without a leader read the platform, and how many nodes are asked at once
	// for the leader.
	Candidates int
}

// Election decides which node to follow and when to lead. As long as the platform responds, its lease decides which node
// leads. While it does not, the live member with the lowest name distributes the records that the zone holds.
type Election struct {
	config   ElectionConfig
	lease    Lease
	followed Target
	// relayed reports whether the followed node is not the leader but follows it.
	relayed bool
	// leased reports whether the leader holds a lease.
	leased    bool
	lastReply time.Time
	// hint is the node that was last named as the leader.
	hint Target
	// unresponsive maps each node that did not reply to its last heartbeat to the time of that heartbeat's failure.
	unresponsive        map[string]time.Time
	platformUnreachable bool
	// spreading reports whether the node's last role was Spreading. The node keeps that role until another node leads.
	spreading bool
	// lastProbe is when the node last asked others for a better leader.
	lastProbe time.Time
}

// NewElection returns an election without a leader.
func NewElection(config ElectionConfig) *Election {
	return &Election{config: config, unresponsive: map[string]time.Time{}}
}

// Plan holds what a node does until it asks for the next plan.
type Plan struct {
	Role Role
	// HeartbeatTargets lists the nodes to send heartbeats to.
	HeartbeatTargets []Target
	// ReadPlatform reports whether the node should read the platform's leader entry, and try to become the leader if
	// there is none.
	ReadPlatform bool
}

// Plan returns the next plan. members lists the members of the zone that are not down; the node itself may be
// missing.
func (e *Election) Plan(now time.Time, members []Member) Plan {
	if e.HoldsLease(now) {
		return Plan{Role: Leading}
	}
	lower := e.lowerMembers(members)
	position := e.position(lower)
	plan := Plan{Role: Following, ReadPlatform: position < e.config.Candidates}
	if e.isFollowing(now) {
		e.spreading = false
		return e.planFollowing(now, lower, plan)
	}
	lapsed := !e.lease.Until.IsZero()
	e.spreading = e.platformUnreachable && (position == 0 || e.spreading || lapsed)
	if e.spreading {
		plan.Role = Spreading
		plan.ReadPlatform = true
	}
	plan.HeartbeatTargets = e.probeTargets(now, lower)
	return plan
}

// planFollowing continues to follow the current node. Unless that node leads under a lease, it also asks others for a
// better leader.
func (e *Election) planFollowing(now time.Time, lower []Target, plan Plan) Plan {
	plan.HeartbeatTargets = []Target{e.followed}
	plan.ReadPlatform = plan.ReadPlatform && !e.leased
	settled := e.leased && !e.relayed
	if settled || now.Sub(e.lastProbe) < e.config.RetryInterval {
		return plan
	}
	e.lastProbe = now
	for _, t := range e.probeTargets(now, lower) {
		if t != e.followed {
			plan.HeartbeatTargets = append(plan.HeartbeatTargets, t)
		}
	}
	return plan
}

// HoldsLease reports whether the node leads under a valid lease.
func (e *Election) HoldsLease(now time.Time) bool {
	return now.Before(e.lease.Until)
}

// Term returns the term of the lease that the node holds or held last.
func (e *Election) Term() uint64 {
	return e.lease.Term
}

// LeaseRemaining returns the time until the lease expires; it is negative if the lease has expired.
func (e *Election) LeaseRemaining(now time.Time) time.Duration {
	return e.lease.Until.Sub(now)
}

// Followed returns the followed node, whether it leads itself, and whether the leader holds a lease. The node is
// empty if none is followed.
func (e *Election) Followed(now time.Time) (t Target, leads, leased bool) {
	if !e.isFollowing(now) {
		return Target{}, false, false
	}
	return e.followed, !e.relayed, e.leased
}

// lowerMembers returns the members whose names are lower than the node's, ordered by name.
func (e *Election) lowerMembers(members []Member) []Target {
	var lower []Target
	for _, m := range members {
		if m.Node < e.config.Node {
			lower = append(lower, Target{Node: m.Node, Address: m.PeerAddress})
		}
	}
	slices.SortFunc(lower, func(a, b Target) int { return cmp.Compare(a.Node, b.Node) })
	return lower
}

// position returns the number of lower members that are not known to be unresponsive.
func (e *Election) position(lower []Target) int {
	count := 0
	for _, t := range lower {
		if _, unresponsive := e.unresponsive[t.Node]; !unresponsive {
			count++
		}
	}
	return count
}

// probeTargets returns the nodes to ask for the leader: the node that was last named as leader, then the lowest
// members, without those that were unresponsive recently.
func (e *Election) probeTargets(now time.Time, lower []Target) []Target {
	var targets []Target
	if e.hint.Node != "" {
		lower = append([]Target{e.hint}, lower...)
	}
	for _, t := range lower {
		failed, unresponsive := e.unresponsive[t.Node]
		due := !unresponsive || now.Sub(failed) > e.config.RetryInterval
		if due && !slices.Contains(targets, t) && len(targets) < e.config.Candidates {
			targets = append(targets, t)
		}
	}
	return targets
}

func (e *Election) isFollowing(now time.Time) bool {
	return e.followed.Node != "" && now.Sub(e.lastReply) <= e.config.FollowTimeout
}

// ElectionState is the election state in a node's reply to a heartbeat.
type ElectionState struct {
	// Leads reports whether the node leads the zone, with or without a lease.
	Leads  bool
	Leased bool
	// Leader is the leader that the node follows directly, if it does not lead itself.
	Leader Target
}

// RecordReply records the reply of a node of the same zone.
func (e *Election) RecordReply(now time.Time, from Target, a ElectionState) {
	delete(e.unresponsive, from.Node)
	knowsLeader := a.Leader.Node != "" && a.Leader.Node != e.config.Node
	switch {
	case a.Leads:
		e.follow(now, from, false, a.Leased)
	case knowsLeader:
		e.considerRelay(now, from, a)
	case from == e.followed:
		e.followed = Target{}
	}
}

// considerRelay follows a node that follows the leader if the leader itself is unresponsive.
func (e *Election) considerRelay(now time.Time, from Target, a ElectionState) {
	e.hint = a.Leader
	_, unreachable := e.unresponsive[a.Leader.Node]
	if unreachable && (!e.isFollowing(now) || e.followed == from) {
		e.follow(now, from, true, a.Leased)
		return
	}
	if e.followed == from {
		e.followed = Target{}
	}
}

func (e *Election) follow(now time.Time, t Target, relayed, leased bool) {
	better := t == e.followed || !e.isFollowing(now) || (leased && !e.leased) || (leased == e.leased && e.relayed && !relayed)
	lower := leased == e.leased && relayed == e.relayed && t.Node < e.followed.Node
	if !better && !lower {
		return
	}
	e.followed, e.relayed, e.leased, e.lastReply = t, relayed, leased, now
}

// RecordFailure records that a heartbeat to the node got no reply.
func (e *Election) RecordFailure(now time.Time, t Target) {
	e.unresponsive[t.Node] = now
}

// IsUnresponsive reports whether the last heartbeat to the node got no reply.
func (e *Election) IsUnresponsive(node string) bool {
	_, unresponsive := e.unresponsive[node]
	return unresponsive
}

// SuggestLeader records that a node claims to lead the zone. If it holds a lease, or if no other node is followed, it is
// asked next.
func (e *Election) SuggestLeader(now time.Time, t Target, leased bool) {
	if t.Node != e.config.Node && (leased || !e.isFollowing(now)) {
		e.hint = t
		delete(e.unresponsive, t.Node)
	}
}

// RecordPlatformLeader records the leader that the platform names.
func (e *Election) RecordPlatformLeader(t Target) {
	e.platformUnreachable = false
	if t.Node != e.config.Node {
		e.hint = t
	}
}

// RecordPlatformUnreachable records that the platform did not respond.
func (e *Election) RecordPlatformUnreachable() {
	e.platformUnreachable = true
}

// RecordLeaseGranted records that the platform granted the lease to the node.
func (e *Election) RecordLeaseGranted(lease Lease) {
	e.platformUnreachable = false
	e.lease = lease
	e.followed = Target{}
	e.hint = Target{}
}

// RecordLeaseRenewed records that the lease holds until the given time. It has no effect on a lease that was lost.
func (e *Election) RecordLeaseRenewed(until time.Time) {
	e.platformUnreachable = false
	if !e.lease.Until.IsZero() {
		e.lease.Until = until
	}
}

// RecordLeaseLost records that the node no longer holds the lease.
func (e *Election) RecordLeaseLost() {
	e.lease.Until = time.Time{}
}
