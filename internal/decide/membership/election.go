package membership

import (
	"cmp"
	"slices"
	"time"
)

// Role is a node's part in its availability zone.
type Role string

// The roles.
const (
	// Following takes records from the leader, or from another node that has one.
	Following Role = "following"
	// Spreading leads without a lease while the platform is away: it spreads records and writes none to the platform.
	Spreading Role = "spreading"
	// Leading leads under a lease of the platform.
	Leading Role = "leading"
)

// Target is a node that heartbeats go to.
type Target struct {
	Node    string
	Address string
}

// Lease is the right to lead, as its holder knows it.
type Lease struct {
	Term uint64
	// Until is when the right ends by the holder's own clock, counted from before it asked for the lease.
	Until time.Time
}

// ElectionConfig sets an Election up.
type ElectionConfig struct {
	Node string
	// FollowTimeout is the time without an answer after which a leader is no longer followed.
	FollowTimeout time.Duration
	// RetryInterval is the time after which a node that gave no answer is asked again.
	RetryInterval time.Duration
	// Candidates is how many nodes of a zone without a leader read the platform.
	Candidates int
}

// Election decides whom a node follows and when it leads. The platform's lease decides as long as the platform
// answers. While it does not, the live member with the lowest name spreads what the zone holds.
type Election struct {
	config   ElectionConfig
	lease    Lease
	followed Target
	// relayed says that the followed node does not lead but follows the leader.
	relayed             bool
	leased              bool
	lastAnswer          time.Time
	hint                Target
	unresponsive        map[string]time.Time
	platformUnreachable bool
	// spreading says that the node spread last, and goes on while nobody else leads.
	spreading bool
	// lastProbe is when others were last asked although there was a leader to follow.
	lastProbe time.Time
}

// NewElection returns an election without a leader.
func NewElection(config ElectionConfig) *Election {
	return &Election{config: config, unresponsive: map[string]time.Time{}}
}

// Plan is what a node does until it asks for the next one.
type Plan struct {
	Role Role
	// HeartbeatTargets are the nodes to send heartbeats to.
	HeartbeatTargets []Target
	// ReadPlatform says that the platform's leader entry is to be read, and taken where there is none.
	ReadPlatform bool
}

// Plan decides for the members of the zone that are not down. They need not include the node itself.
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

// planFollowing goes on with the followed node, and looks out for a better one unless it leads under a lease.
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

// HoldsLease reports whether the node leads under its lease.
func (e *Election) HoldsLease(now time.Time) bool {
	return now.Before(e.lease.Until)
}

// Term returns the term of the lease that the node holds or held last.
func (e *Election) Term() uint64 {
	return e.lease.Term
}

// LeaseRemaining returns how long the lease still holds without a renewal; it is negative where it does not.
func (e *Election) LeaseRemaining(now time.Time) time.Duration {
	return e.lease.Until.Sub(now)
}

// Followed returns the node that is followed, whether it leads itself, and whether it does so under a lease.
func (e *Election) Followed(now time.Time) (t Target, leads, leased bool) {
	if !e.isFollowing(now) {
		return Target{}, false, false
	}
	return e.followed, !e.relayed, e.leased
}

// lowerMembers returns the members before the node in the order of names.
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

// position counts the lower members that may be alive.
func (e *Election) position(lower []Target) int {
	count := 0
	for _, t := range lower {
		if _, unresponsive := e.unresponsive[t.Node]; !unresponsive {
			count++
		}
	}
	return count
}

// probeTargets returns the nodes that may know the leader or be it: the one that was named, and the lowest.
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
	return e.followed.Node != "" && now.Sub(e.lastAnswer) <= e.config.FollowTimeout
}

// Answer is what a node said in the answer to a heartbeat.
type Answer struct {
	// Leads says that the node leads the zone, under a lease or not.
	Leads  bool
	Leased bool
	// Leader is the node that it follows directly, where it does not lead.
	Leader Target
}

// RecordAnswer takes in the answer of a node of the same zone.
func (e *Election) RecordAnswer(now time.Time, from Target, a Answer) {
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

// considerRelay follows a node that follows the leader, as long as the leader itself gives no answer.
func (e *Election) considerRelay(now time.Time, from Target, a Answer) {
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
	e.followed, e.relayed, e.leased, e.lastAnswer = t, relayed, leased, now
}

// RecordFailure notes that a heartbeat to the node had no answer.
func (e *Election) RecordFailure(now time.Time, t Target) {
	e.unresponsive[t.Node] = now
}

// IsUnresponsive reports whether the last heartbeat to the node had no answer.
func (e *Election) IsUnresponsive(node string) bool {
	_, unresponsive := e.unresponsive[node]
	return unresponsive
}

// SuggestLeader names a node that says it leads. It is asked next where it has a lease, or where nobody else is followed.
func (e *Election) SuggestLeader(now time.Time, t Target, leased bool) {
	if t.Node != e.config.Node && (leased || !e.isFollowing(now)) {
		e.hint = t
		delete(e.unresponsive, t.Node)
	}
}

// RecordPlatformLeader takes in the leader that the platform names.
func (e *Election) RecordPlatformLeader(t Target) {
	e.platformUnreachable = false
	if t.Node != e.config.Node {
		e.hint = t
	}
}

// RecordPlatformUnreachable notes that the platform gave no answer.
func (e *Election) RecordPlatformUnreachable() {
	e.platformUnreachable = true
}

// RecordLeaseGranted notes that the node holds the lease of the term.
func (e *Election) RecordLeaseGranted(lease Lease) {
	e.platformUnreachable = false
	e.lease = lease
	e.followed = Target{}
	e.hint = Target{}
}

// RecordLeaseRenewed notes that the lease holds until the time, unless it was lost meanwhile.
func (e *Election) RecordLeaseRenewed(until time.Time) {
	e.platformUnreachable = false
	if !e.lease.Until.IsZero() {
		e.lease.Until = until
	}
}

// RecordLeaseLost notes that the lease is gone.
func (e *Election) RecordLeaseLost() {
	e.lease.Until = time.Time{}
}
