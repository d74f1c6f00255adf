package outcome

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file explores an opaque key, which carries no timestamp. Nodes learn a renewed shard late, new owners ask
// earlier owners to move the key and continue after a delay, requests are shed, entries are dropped, and keys are
// handed over. The key must not start to run twice within one window.

// opaqueRules selects the guards of opaque keys to disable, and which steps are explored.
type opaqueRules struct {
	// thirdNode adds a third node, and handovers adds handovers and restarts.
	thirdNode bool
	handovers bool
	// prepare runs the first steps, before the exploration starts.
	prepare func(m *model)
	// skipEarlierOwners lets an owner run a key that earlier owners have not moved. askOnlyLatest asks only the latest
	// of the earlier owners.
	skipEarlierOwners bool
	askOnlyLatest     bool
	// skipAfterRefusal lets an owner that has refused a key run it later without asking earlier owners again.
	skipAfterRefusal bool
	// forgetMoved lets a node that has moved a key drop its record of the move immediately.
	forgetMoved bool
	// ignoreEpochEnd lets an owner run keys after the end of the last epoch that it knows.
	ignoreEpochEnd bool
	// skipRecheck lets an owner run a key without checking the shard again after the earlier owners have moved the key.
	skipRecheck bool
	// windowFromFirstCopy counts the window from the first copy, regardless of later runs and moves.
	windowFromFirstCopy bool
	// moveAfterHandover lets a node that has handed over its keys still move keys that it has not seen.
	moveAfterHandover bool
}

const (
	opaqueKey = "opaque"
	// opaqueWindow is the window of the opaque key, in the model's milliseconds. It is longer than the time by which a
	// renewal extends the shard.
	opaqueWindow = 3
	// opaqueLastTime is the time at which the exploration ends, in the model's milliseconds.
	opaqueLastTime = 9
	// maxOpaqueWrites is the limit of versions of the shard.
	maxOpaqueWrites = 4
)

var opaqueConfig = TableConfig{Window: opaqueWindow * time.Millisecond, MaxAhead: time.Hour, MaxKeys: 10, MaxBytes: 1 << 20}

// pendingMove is a request whose owner still asks earlier owners to move its key.
type pendingMove struct {
	earlier  []Node
	deadline int64
}

func newOpaqueModel(r rules) model {
	m := newModel(r)
	m.lastRun = -opaqueWindow
	if r.opaque.thirdNode {
		m.nodes = append(m.nodes, modelNode{self: Node{"c", 1}, known: m.written, successorOf: map[Node]bool{}})
	}
	for i := range m.nodes {
		m.nodes[i].table = NewTable[string](opaqueConfig)
		m.nodes[i].table.windowStart = -opaqueWindow
	}
	if r.opaque.prepare != nil {
		r.opaque.prepare(&m)
	}
	return m
}

// tableTime is the time passed to the tables. Keys with a timestamp don't depend on it.
func (m *model) tableTime() time.Time {
	if m.rules.opaque == nil {
		return modelTime
	}
	return time.UnixMilli(m.now)
}

func (n *modelNode) appendOpaque(b []byte) []byte {
	if e, ok := n.table.entries[opaqueKey]; ok {
		b = append(b, byte(e.State), byte(e.UnixMillis), byte(e.reportedAt.UnixMilli()))
		b = append(b, e.MovedTo.Name...)
		b = append(b, byte(e.MovedTo.Incarnation))
	}
	b = append(b, byte(n.table.windowStart), byte(bit(n.table.closed)))
	if n.pendingMove == nil {
		return b
	}
	for _, owner := range n.pendingMove.earlier {
		b = append(b, owner.Name[0], byte(owner.Incarnation))
	}
	return append(b, byte(n.pendingMove.deadline), 255)
}

func (m model) opaqueSuccessors() []model {
	var states []model
	step := m.step(&states)
	for _, span := range []int64{1, opaqueWindow} {
		step(func(c *model) bool { c.now += span; return c.now <= opaqueLastTime })
	}
	for i := range m.nodes {
		step(func(c *model) bool { return c.receiveCopy(i, Done) })
		step(func(c *model) bool { return c.receiveCopy(i, NotRun) })
		step(func(c *model) bool { return c.askEarlierOwner(i) })
		step(func(c *model) bool { return c.learn(i, c.written, true) })
		for _, reach := range []int{0, 1 << i, everyNode} {
			step(func(c *model) bool { return c.renewShard(i, reach) })
		}
		if m.rules.opaque.handovers {
			step(func(c *model) bool { return c.restart(i) })
			step(func(c *model) bool { return c.handOver(i) })
		}
	}
	for i := range m.messages {
		step(func(c *model) bool { return c.deliver(i) })
	}
	return states
}

// everyNode is the set of all nodes, one bit per node.
const everyNode = 1<<3 - 1

// renewShard renews the shard with the member as the owner. The nodes in reach, one bit per node, learn of it
// immediately.
func (m *model) renewShard(member, reach int) bool {
	next, changed := m.written.Renew(Renewal{
		Until:      m.now + 2,
		DropBefore: m.now - opaqueWindow,
		Zone:       "zone",
		Members:    []Member{{Node: m.nodes[member].self}},
	})
	if !changed || m.writes >= maxOpaqueWrites {
		return false
	}
	m.written = next
	m.writes++
	for i := range m.nodes {
		if reach&(1<<i) != 0 {
			m.learn(i, next, true)
		}
	}
	return true
}

// ownersToAsk returns the earlier owners that must move the key before the node runs it, and reports whether the node
// owns the key now.
func (m *model) ownersToAsk(n *modelNode) ([]Node, bool) {
	now := m.now
	if m.rules.opaque.ignoreEpochEnd {
		now = min(now, n.known.Last().Until-1)
	}
	owner, earlier, ok := n.known.CurrentOwner("", opaqueKey, now, m.now-opaqueWindow)
	if !ok || !n.answersFor(owner) {
		return nil, false
	}
	return slices.DeleteFunc(earlier, n.answersFor), true
}

// receiveCopy delivers a copy of the request to the node. The copy is run or shed, unless earlier owners must be asked
// first.
func (m *model) receiveCopy(node int, end State) bool {
	n := &m.nodes[node]
	earlier, ok := m.ownersToAsk(n)
	if !ok || n.pendingMove != nil {
		return false
	}
	n.copyBeforeChange()
	if !n.table.MayRun(m.tableTime(), opaqueKey) || m.rules.opaque.skipEarlierOwners || m.skipsAfterRefusal(n) {
		earlier = nil
	}
	if len(earlier) == 0 {
		return m.begin(n, end)
	}
	if m.rules.opaque.askOnlyLatest {
		earlier = earlier[len(earlier)-1:]
	}
	n.pendingMove = &pendingMove{earlier: earlier, deadline: m.now + opaqueWindow}
	return true
}

func (m *model) skipsAfterRefusal(n *modelNode) bool {
	_, held := n.table.entries[opaqueKey]
	return m.rules.opaque.skipAfterRefusal && held
}

// askEarlierOwner asks one earlier owner to move the key. After the last one has moved it, the key is run.
func (m *model) askEarlierOwner(node int) bool {
	n := &m.nodes[node]
	if n.pendingMove == nil {
		return false
	}
	n.copyBeforeChange()
	pending := *n.pendingMove
	n.pendingMove = nil
	if m.now > pending.deadline {
		return true
	}
	if len(pending.earlier) == 0 {
		_, ok := m.ownersToAsk(n)
		return !ok && !m.rules.opaque.skipRecheck || m.begin(n, Done)
	}
	switch m.moveFrom(n, pending.earlier[0]) {
	case Moved:
		pending.earlier = pending.earlier[1:]
		n.pendingMove = &pending
	case Absent:
		n.pendingMove = &pending
		return false
	}
	return true
}

// moveFrom asks the node that answers for the earlier owner to move the key. NotRun means that no such node can be
// asked.
func (m *model) moveFrom(n *modelNode, owner Node) State {
	if n.answersFor(owner) {
		return Moved
	}
	for i := range m.nodes {
		asked := &m.nodes[i]
		if asked.answersFor(owner) && !asked.answersFor(n.self) {
			return m.move(asked, n.self)
		}
	}
	return NotRun
}

func (m *model) move(asked *modelNode, to Node) State {
	asked.copyBeforeChange()
	if m.rules.opaque.moveAfterHandover {
		asked.table.closed = false
	}
	start := m.windowStart(asked)
	state := asked.table.Move(m.tableTime(), RequestCopy{ID: opaqueKey, Fingerprint: 1}, to).State
	switch {
	case state != Moved:
	case m.rules.opaque.forgetMoved:
		delete(asked.table.entries, opaqueKey)
	case m.rules.opaque.windowFromFirstCopy:
		asked.table.entries[opaqueKey].UnixMillis = start
	}
	return state
}

// windowStart returns the time from which the key's window counts if the key is moved or run now.
func (m *model) windowStart(n *modelNode) int64 {
	if e, ok := n.table.entries[opaqueKey]; ok && m.rules.opaque.windowFromFirstCopy {
		return e.UnixMillis
	}
	return m.now
}

// begin passes a copy to the node's table, and confirms a challenge immediately.
func (m *model) begin(n *modelNode, end State) bool {
	now := m.tableTime()
	start := m.windowStart(n)
	a := RequestCopy{ID: opaqueKey, Fingerprint: 1, Token: "token"}
	verdict := n.table.Begin(now, a)
	if verdict.Action == Challenge {
		a.Confirm = verdict.Token
		verdict = n.table.Begin(now, a)
	}
	if verdict.Action != Run {
		return false
	}
	if m.rules.opaque.windowFromFirstCopy {
		n.table.entries[opaqueKey].UnixMillis = start
	}
	n.table.Settle(now, opaqueKey, end, "", 0)
	if end == Done {
		m.ranTwice = m.now < m.lastRun+opaqueWindow
		m.lastRun = m.now
	}
	return true
}

func allOpaqueGuards() rules {
	r := allGuards
	r.opaque = &opaqueRules{}
	return r
}

func TestOpaqueKeyRunsAtMostOncePerWindow(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		change func(*opaqueRules)
		depth  int
	}{
		"two nodes":              {change: func(*opaqueRules) {}, depth: 8},
		"three nodes":            {change: func(r *opaqueRules) { r.thirdNode = true }, depth: 6},
		"handovers and restarts": {change: func(r *opaqueRules) { r.handovers = true }, depth: 6},
		"after a handover":       {change: afterHandover, depth: 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := allOpaqueGuards()
			tc.change(r.opaque)
			steps, states := explore(r, tc.depth)
			t.Logf("%d states in %d steps", states, tc.depth)
			is.Equal(steps, 0)
		})
	}
}

// afterHandover starts the exploration after the second node has taken over the keys of the first.
func afterHandover(r *opaqueRules) {
	r.handovers = true
	r.prepare = func(m *model) {
		m.handOver(0)
		m.deliver(0)
	}
}

// atEpochEnd starts the exploration when the second node owns the keys for one more millisecond.
func atEpochEnd(r *opaqueRules) {
	r.prepare = func(m *model) {
		m.renewShard(1, everyNode)
		m.now += 2
	}
}

func TestEveryGuardOfOpaqueKeysIsNeeded(t *testing.T) {
	t.Parallel()
	const depth = 8
	for name, change := range map[string]func(*opaqueRules){
		"earlier owners are not asked":                 func(r *opaqueRules) { r.skipEarlierOwners = true },
		"only the latest earlier owner is asked":       func(r *opaqueRules) { r.thirdNode, r.askOnlyLatest = true, true },
		"earlier owners are not asked after a refusal": func(r *opaqueRules) { r.skipAfterRefusal = true },
		"the record of a move is dropped":              func(r *opaqueRules) { r.forgetMoved = true },
		"a key runs after the end of the epoch":        func(r *opaqueRules) { r.ignoreEpochEnd = true },
		"the window counts from the first copy":        func(r *opaqueRules) { r.windowFromFirstCopy = true },
		"the shard is checked only before earlier owners are asked": func(r *opaqueRules) {
			r.skipRecheck = true
			atEpochEnd(r)
		},
		"keys are moved after the handover": func(r *opaqueRules) {
			r.moveAfterHandover = true
			afterHandover(r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := allOpaqueGuards()
			change(broken.opaque)
			steps, _ := explore(broken, depth)
			t.Logf("a key ran twice after %d steps", steps)
			is.True(steps > 0)
		})
	}
}
