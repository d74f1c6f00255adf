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
	// SilentAfter is the time without an answer after which a leader is no longer followed.
	SilentAfter time.Duration
	// AskAgain is the time after which a node that gave no answer is asked again.
	AskAgain time.Duration
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
	relayed      bool
	leased       bool
	answered     time.Time
	hint         Target
	silent       map[string]time.Time
	platformAway bool
	// spreading says that the node spread last, and goes on while nobody else leads.
	spreading bool
	// looked is when others were last asked although there was a leader to follow.
	looked time.Time
}

// NewElection returns an election without a leader.
func NewElection(config ElectionConfig) *Election {
	return &Election{config: config, silent: map[string]time.Time{}}
}

// Plan is what a node does until it asks for the next one.
type Plan struct {
	Role Role
	// Ask are the nodes to send heartbeats to.
	Ask []Target
	// Read says that the platform's leader entry is to be read, and taken where there is none.
	Read bool
}

// Plan decides for the members of the zone that are not down. They need not include the node itself.
func (e *Election) Plan(now time.Time, members []Member) Plan {
	if e.Holds(now) {
		return Plan{Role: Leading}
	}
	lower := e.lower(members)
	position := e.position(lower)
	plan := Plan{Role: Following, Read: position < e.config.Candidates}
	if e.follows(now) {
		e.spreading = false
		return e.planFollowing(now, lower, plan)
	}
	lapsed := !e.lease.Until.IsZero()
	e.spreading = e.platformAway && (position == 0 || e.spreading || lapsed)
	if e.spreading {
		plan.Role = Spreading
		plan.Read = true
	}
	plan.Ask = e.others(now, lower)
	return plan
}

// planFollowing goes on with the followed node, and looks out for a better one unless it leads under a lease.
func (e *Election) planFollowing(now time.Time, lower []Target, plan Plan) Plan {
	plan.Ask = []Target{e.followed}
	plan.Read = plan.Read && !e.leased
	settled := e.leased && !e.relayed
	if settled || now.Sub(e.looked) < e.config.AskAgain {
		return plan
	}
	e.looked = now
	for _, t := range e.others(now, lower) {
		if t != e.followed {
			plan.Ask = append(plan.Ask, t)
		}
	}
	return plan
}

// Holds reports whether the node leads under its lease.
func (e *Election) Holds(now time.Time) bool {
	return now.Before(e.lease.Until)
}

// Term returns the term of the lease that the node holds or held last.
func (e *Election) Term() uint64 {
	return e.lease.Term
}

// LeaseLeft returns how long the lease still holds without a renewal; it is negative where it does not.
func (e *Election) LeaseLeft(now time.Time) time.Duration {
	return e.lease.Until.Sub(now)
}

// Followed returns the node that is followed, whether it leads itself, and whether it does so under a lease.
func (e *Election) Followed(now time.Time) (t Target, leads, leased bool) {
	if !e.follows(now) {
		return Target{}, false, false
	}
	return e.followed, !e.relayed, e.leased
}

// lower returns the members before the node in the order of names.
func (e *Election) lower(members []Member) []Target {
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
		if _, silent := e.silent[t.Node]; !silent {
			count++
		}
	}
	return count
}

// others returns the nodes that may know the leader or be it: the one that was named, and the lowest.
func (e *Election) others(now time.Time, lower []Target) []Target {
	var others []Target
	if e.hint.Node != "" {
		lower = append([]Target{e.hint}, lower...)
	}
	for _, t := range lower {
		failed, silent := e.silent[t.Node]
		due := !silent || now.Sub(failed) > e.config.AskAgain
		if due && !slices.Contains(others, t) && len(others) < e.config.Candidates {
			others = append(others, t)
		}
	}
	return others
}

func (e *Election) follows(now time.Time) bool {
	return e.followed.Node != "" && now.Sub(e.answered) <= e.config.SilentAfter
}

// Answer is what a node said in the answer to a heartbeat.
type Answer struct {
	// Leads says that the node leads the zone, under a lease or not.
	Leads  bool
	Leased bool
	// Leader is the node that it follows directly, where it does not lead.
	Leader Target
}

// Answered takes in the answer of a node of the same zone.
func (e *Election) Answered(now time.Time, from Target, a Answer) {
	delete(e.silent, from.Node)
	knowsLeader := a.Leader.Node != "" && a.Leader.Node != e.config.Node
	switch {
	case a.Leads:
		e.follow(now, from, false, a.Leased)
	case knowsLeader:
		e.relay(now, from, a)
	case from == e.followed:
		e.followed = Target{}
	}
}

// relay follows a node that follows the leader, as long as the leader itself gives no answer.
func (e *Election) relay(now time.Time, from Target, a Answer) {
	e.hint = a.Leader
	_, unreachable := e.silent[a.Leader.Node]
	if unreachable && (!e.follows(now) || e.followed == from) {
		e.follow(now, from, true, a.Leased)
		return
	}
	if e.followed == from {
		e.followed = Target{}
	}
}

func (e *Election) follow(now time.Time, t Target, relayed, leased bool) {
	better := t == e.followed || !e.follows(now) || (leased && !e.leased) || (leased == e.leased && e.relayed && !relayed)
	lower := leased == e.leased && relayed == e.relayed && t.Node < e.followed.Node
	if !better && !lower {
		return
	}
	e.followed, e.relayed, e.leased, e.answered = t, relayed, leased, now
}

// Failed notes that a heartbeat to the node had no answer.
func (e *Election) Failed(now time.Time, t Target) {
	e.silent[t.Node] = now
}

// IsSilent reports whether the last heartbeat to the node had no answer.
func (e *Election) IsSilent(node string) bool {
	_, silent := e.silent[node]
	return silent
}

// Suggest names a node that says it leads. It is asked next where it has a lease, or where nobody else is followed.
func (e *Election) Suggest(now time.Time, t Target, leased bool) {
	if t.Node != e.config.Node && (leased || !e.follows(now)) {
		e.hint = t
		delete(e.silent, t.Node)
	}
}

// PlatformNames takes in the leader that the platform names.
func (e *Election) PlatformNames(t Target) {
	e.platformAway = false
	if t.Node != e.config.Node {
		e.hint = t
	}
}

// PlatformAway notes that the platform gave no answer.
func (e *Election) PlatformAway() {
	e.platformAway = true
}

// Granted notes that the node holds the lease of the term.
func (e *Election) Granted(lease Lease) {
	e.platformAway = false
	e.lease = lease
	e.followed = Target{}
	e.hint = Target{}
}

// Renewed notes that the lease holds until the time, unless it was lost meanwhile.
func (e *Election) Renewed(until time.Time) {
	e.platformAway = false
	if !e.lease.Until.IsZero() {
		e.lease.Until = until
	}
}

// Lost notes that the lease is gone.
func (e *Election) Lost() {
	e.lease.Until = time.Time{}
}
