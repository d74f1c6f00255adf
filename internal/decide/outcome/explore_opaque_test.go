package outcome

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The exploration of a key without a time: nodes lag behind the agreed shard, homes ask earlier ones to move the key
// and are slow to go on, requests are shed, entries are forgotten, and keys are handed over. The key must not begin to
// run a second time within the window after it began to.

// opaqueRules are the guards of opaque keys that a trial may take out.
type opaqueRules struct {
	// thirdNode adds a node, and handovers adds them and restarts.
	thirdNode bool
	handovers bool
	// prepare takes the first steps, after which the exploration begins.
	prepare func(m *model)
	// skipEarlierOwners lets a home run a key that earlier homes have not moved, and latest asks only the latest of them.
	skipEarlierOwners bool
	askOnlyLatest     bool
	// skipAfterRefusal lets a home that has refused a key run it later without asking again.
	skipAfterRefusal bool
	// forgetMoved lets a node that has moved a key forget that at once.
	forgetMoved bool
	// ignoreEpochEnd lets a home run keys after the end of the last epoch that it knows.
	ignoreEpochEnd bool
	// skipRecheck lets a home run a key without another look at the shard once earlier ones have moved it.
	skipRecheck bool
	// windowFromFirstCopy counts the window from when the key was first seen, whatever happened to it later.
	windowFromFirstCopy bool
	// moveAfterHandover lets a node that has handed its keys over go on moving keys that it has not seen.
	moveAfterHandover bool
}

const (
	opaqueKey = "opaque"
	// opaqueWindow is in the model's milliseconds, and longer than the shard is renewed ahead.
	opaqueWindow = 3
	// opaqueLastTime is when the exploration ends.
	opaqueLastTime = 9
	// maxOpaqueWrites bounds the versions of the shard.
	maxOpaqueWrites = 4
)

var opaqueConfig = TableConfig{Window: opaqueWindow * time.Millisecond, MaxAhead: time.Hour, MaxKeys: 10, MaxBytes: 1 << 20}

// pendingMove is a request whose home still asks earlier ones to move its key.
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

// tableTime is the time of the tables, which plays no part for keys that carry one.
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

// everyNode is the set of all nodes, as bits.
const everyNode = 1<<3 - 1

// renewShard renews the shard with the member as the home, and lets the nodes in reach, as bits, learn of it at once.
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

// ownersToAsk returns the nodes that must have moved the key before the node runs it, where the node decides about it.
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

// receiveCopy brings a copy of the request to the node. It is run, or shed, unless earlier homes must be asked first.
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

// askEarlierOwner asks one earlier home to move the key. Once all have, the key is run.
func (m *model) askEarlierOwner(node int) bool {
	n := &m.nodes[node]
	if n.pendingMove == nil {
		return false
	}
	n.copyBeforeChange()
	left := *n.pendingMove
	n.pendingMove = nil
	if m.now > left.deadline {
		return true
	}
	if len(left.earlier) == 0 {
		_, ok := m.ownersToAsk(n)
		return !ok && !m.rules.opaque.skipRecheck || m.begin(n, Done)
	}
	switch m.moveFrom(n, left.earlier[0]) {
	case Moved:
		left.earlier = left.earlier[1:]
		n.pendingMove = &left
	case Absent:
		n.pendingMove = &left
		return false
	}
	return true
}

// moveFrom asks the node that answers for the earlier home to move the key. NotRun stands for one that can't be asked.
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
	arrived := m.windowStart(asked)
	state := asked.table.Move(m.tableTime(), RequestCopy{ID: opaqueKey, Fingerprint: 1}, to).State
	switch {
	case state != Moved:
	case m.rules.opaque.forgetMoved:
		delete(asked.table.entries, opaqueKey)
	case m.rules.opaque.windowFromFirstCopy:
		asked.table.entries[opaqueKey].UnixMillis = arrived
	}
	return state
}

// windowStart returns the time from which the window of the key counts once it has moved or begins to run.
func (m *model) windowStart(n *modelNode) int64 {
	if e, ok := n.table.entries[opaqueKey]; ok && m.rules.opaque.windowFromFirstCopy {
		return e.UnixMillis
	}
	return m.now
}

// begin lets the node's table decide about a copy. A challenge is answered at once.
func (m *model) begin(n *modelNode, end State) bool {
	now := m.tableTime()
	arrived := m.windowStart(n)
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
		n.table.entries[opaqueKey].UnixMillis = arrived
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

func TestNoStateInWhichAnOpaqueKeyRunsTwice(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		change func(*opaqueRules)
		depth  int
	}{
		"two nodes":             {change: func(*opaqueRules) {}, depth: 8},
		"three nodes":           {change: func(r *opaqueRules) { r.thirdNode = true }, depth: 6},
		"nodes leave and start": {change: func(r *opaqueRules) { r.handovers = true }, depth: 6},
		"after a handover":      {change: afterHandover, depth: 6},
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

// afterHandover begins after the second node has taken the first one's keys over.
func afterHandover(r *opaqueRules) {
	r.handovers = true
	r.prepare = func(m *model) {
		m.handOver(0)
		m.deliver(0)
	}
}

// atEpochEnd begins when the second node is the home, for one more millisecond.
func atEpochEnd(r *opaqueRules) {
	r.prepare = func(m *model) {
		m.renewShard(1, everyNode)
		m.now += 2
	}
}

func TestGuardsOfOpaqueKeysAreNeeded(t *testing.T) {
	t.Parallel()
	const depth = 8
	for name, change := range map[string]func(*opaqueRules){
		"earlier homes are not asked":               func(r *opaqueRules) { r.skipEarlierOwners = true },
		"only the latest earlier home is asked":     func(r *opaqueRules) { r.thirdNode, r.askOnlyLatest = true, true },
		"a key that was refused is not asked for":   func(r *opaqueRules) { r.skipAfterRefusal = true },
		"a node forgets that a key has moved":       func(r *opaqueRules) { r.forgetMoved = true },
		"a home goes on after the end of its epoch": func(r *opaqueRules) { r.ignoreEpochEnd = true },
		"the window counts from the first copy":     func(r *opaqueRules) { r.windowFromFirstCopy = true },
		"a home looks at the shard before it asks": func(r *opaqueRules) {
			r.skipRecheck = true
			atEpochEnd(r)
		},
		"a node moves keys after its handover": func(r *opaqueRules) {
			r.moveAfterHandover = true
			afterHandover(r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := allOpaqueGuards()
			change(broken.opaque)
			steps, _ := explore(broken, depth)
			t.Logf("broken after %d steps", steps)
			is.True(steps > 0)
		})
	}
}
