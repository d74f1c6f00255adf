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
	// third adds a node, and handovers adds them and restarts.
	third     bool
	handovers bool
	// start takes the first steps, after which the exploration begins.
	start func(m *model)
	// unasked lets a home run a key that earlier homes have not moved, and latest asks only the latest of them.
	unasked bool
	latest  bool
	// refusedOnce lets a home that has refused a key run it later without asking again.
	refusedOnce bool
	// unmarked lets a node that has moved a key forget that at once.
	unmarked bool
	// endless lets a home run keys after the end of the last epoch that it knows.
	endless bool
	// unchecked lets a home run a key without another look at the shard once earlier ones have moved it.
	unchecked bool
	// sinceArrival counts the window from when the key was first seen, whatever happened to it later.
	sinceArrival bool
	// openAnswer lets a node that has handed its keys over go on moving keys that it has not seen.
	openAnswer bool
}

const (
	opaqueKey = "opaque"
	// opaqueWindow is in the model's milliseconds, and longer than the shard is renewed ahead.
	opaqueWindow = 3
	// opaqueEnd is when the exploration ends.
	opaqueEnd = 9
	// opaqueWrites bounds the versions of the shard.
	opaqueWrites = 4
)

var opaqueConfig = TableConfig{Window: opaqueWindow * time.Millisecond, Ahead: time.Hour, MaxKeys: 10, MaxBytes: 1 << 20}

// asking is a request whose home still asks earlier ones to move its key.
type asking struct {
	earlier  []Node
	deadline int64
}

func newOpaqueModel(r rules) model {
	m := newModel(r)
	m.lastRun = -opaqueWindow
	if r.opaque.third {
		m.nodes = append(m.nodes, modelNode{self: Node{"c", 1}, known: m.written, heirOf: map[Node]bool{}})
	}
	for i := range m.nodes {
		m.nodes[i].table = NewTable[string](opaqueConfig)
		m.nodes[i].table.floor = -opaqueWindow
	}
	if r.opaque.start != nil {
		r.opaque.start(&m)
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
		b = append(b, byte(e.State), byte(e.UnixMillis), byte(e.decided.UnixMilli()))
		b = append(b, e.MovedTo.Name...)
		b = append(b, byte(e.MovedTo.Incarnation))
	}
	b = append(b, byte(n.table.floor), byte(flag(n.table.closed)))
	if n.asking == nil {
		return b
	}
	for _, home := range n.asking.earlier {
		b = append(b, home.Name[0], byte(home.Incarnation))
	}
	return append(b, byte(n.asking.deadline), 255)
}

func (m model) nextOpaque() []model {
	var states []model
	step := m.step(&states)
	for _, span := range []int64{1, opaqueWindow} {
		step(func(c *model) bool { c.now += span; return c.now <= opaqueEnd })
	}
	for i := range m.nodes {
		step(func(c *model) bool { return c.arrive(i, Done) })
		step(func(c *model) bool { return c.arrive(i, NotRun) })
		step(func(c *model) bool { return c.askEarlier(i) })
		step(func(c *model) bool { return c.learn(i, c.written, true) })
		for _, reach := range []int{0, 1 << i, everyNode} {
			step(func(c *model) bool { return c.agree(i, reach) })
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

// agree renews the shard with the member as the home, and lets the nodes in reach, as bits, learn of it at once.
func (m *model) agree(member, reach int) bool {
	next, changed := m.written.Renew(Renewal{
		Until:   m.now + 2,
		Keep:    m.now - opaqueWindow,
		Zone:    "zone",
		Members: []Member{{Node: m.nodes[member].self}},
	})
	if !changed || m.writes >= opaqueWrites {
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

// current returns the nodes that must have moved the key before the node runs it, where the node decides about it.
func (m *model) current(n *modelNode) ([]Node, bool) {
	now := m.now
	if m.rules.opaque.endless {
		now = min(now, n.known.Last().Until-1)
	}
	home, earlier, ok := n.known.Current("", opaqueKey, now, m.now-opaqueWindow)
	if !ok || !n.answersFor(home) {
		return nil, false
	}
	return slices.DeleteFunc(earlier, n.answersFor), true
}

// arrive brings a copy of the request to the node. It is run, or shed, unless earlier homes must be asked first.
func (m *model) arrive(node int, end State) bool {
	n := &m.nodes[node]
	earlier, ok := m.current(n)
	if !ok || n.asking != nil {
		return false
	}
	n.own()
	if !n.table.MayRun(m.tableTime(), opaqueKey) || m.rules.opaque.unasked || m.hasRefused(n) {
		earlier = nil
	}
	if len(earlier) == 0 {
		return m.take(n, end)
	}
	if m.rules.opaque.latest {
		earlier = earlier[len(earlier)-1:]
	}
	n.asking = &asking{earlier: earlier, deadline: m.now + opaqueWindow}
	return true
}

func (m *model) hasRefused(n *modelNode) bool {
	_, held := n.table.entries[opaqueKey]
	return m.rules.opaque.refusedOnce && held
}

// askEarlier asks one earlier home to move the key. Once all have, the key is run.
func (m *model) askEarlier(node int) bool {
	n := &m.nodes[node]
	if n.asking == nil {
		return false
	}
	n.own()
	left := *n.asking
	n.asking = nil
	if m.now > left.deadline {
		return true
	}
	if len(left.earlier) == 0 {
		_, ok := m.current(n)
		return !ok && !m.rules.opaque.unchecked || m.take(n, Done)
	}
	switch m.moveFrom(n, left.earlier[0]) {
	case Moved:
		left.earlier = left.earlier[1:]
		n.asking = &left
	case Absent:
		n.asking = &left
		return false
	}
	return true
}

// moveFrom asks the node that answers for the earlier home to move the key. NotRun stands for one that can't be asked.
func (m *model) moveFrom(n *modelNode, home Node) State {
	if n.answersFor(home) {
		return Moved
	}
	for i := range m.nodes {
		asked := &m.nodes[i]
		if asked.answersFor(home) && !asked.answersFor(n.self) {
			return m.move(asked, n.self)
		}
	}
	return NotRun
}

func (m *model) move(asked *modelNode, to Node) State {
	asked.own()
	if m.rules.opaque.openAnswer {
		asked.table.closed = false
	}
	arrived := m.arrived(asked)
	state := asked.table.Move(m.tableTime(), Ask{ID: opaqueKey, Fingerprint: 1}, to).State
	switch {
	case state != Moved:
	case m.rules.opaque.unmarked:
		delete(asked.table.entries, opaqueKey)
	case m.rules.opaque.sinceArrival:
		asked.table.entries[opaqueKey].UnixMillis = arrived
	}
	return state
}

// arrived returns the time from which the window of the key counts once it has moved or begins to run.
func (m *model) arrived(n *modelNode) int64 {
	if e, ok := n.table.entries[opaqueKey]; ok && m.rules.opaque.sinceArrival {
		return e.UnixMillis
	}
	return m.now
}

// take lets the node's table decide about a copy. A challenge is answered at once.
func (m *model) take(n *modelNode, end State) bool {
	now := m.tableTime()
	arrived := m.arrived(n)
	a := Ask{ID: opaqueKey, Fingerprint: 1, Token: "token"}
	verdict := n.table.Begin(now, a)
	if verdict.Action == Challenge {
		a.Confirm = verdict.Token
		verdict = n.table.Begin(now, a)
	}
	if verdict.Action != Run {
		return false
	}
	if m.rules.opaque.sinceArrival {
		n.table.entries[opaqueKey].UnixMillis = arrived
	}
	n.table.Settle(now, opaqueKey, end, "", 0)
	if end == Done {
		m.twice = m.now < m.lastRun+opaqueWindow
		m.lastRun = m.now
	}
	return true
}

func guardedOpaque() rules {
	r := guarded
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
		"three nodes":           {change: func(r *opaqueRules) { r.third = true }, depth: 6},
		"nodes leave and start": {change: func(r *opaqueRules) { r.handovers = true }, depth: 6},
		"after a handover":      {change: afterHandover, depth: 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := guardedOpaque()
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
	r.start = func(m *model) {
		m.handOver(0)
		m.deliver(0)
	}
}

// atTheEndOfAnEpoch begins when the second node is the home, for one more millisecond.
func atTheEndOfAnEpoch(r *opaqueRules) {
	r.start = func(m *model) {
		m.agree(1, everyNode)
		m.now += 2
	}
}

func TestGuardsOfOpaqueKeysAreNeeded(t *testing.T) {
	t.Parallel()
	const depth = 8
	for name, change := range map[string]func(*opaqueRules){
		"earlier homes are not asked":               func(r *opaqueRules) { r.unasked = true },
		"only the latest earlier home is asked":     func(r *opaqueRules) { r.third, r.latest = true, true },
		"a key that was refused is not asked for":   func(r *opaqueRules) { r.refusedOnce = true },
		"a node forgets that a key has moved":       func(r *opaqueRules) { r.unmarked = true },
		"a home goes on after the end of its epoch": func(r *opaqueRules) { r.endless = true },
		"the window counts from the first copy":     func(r *opaqueRules) { r.sinceArrival = true },
		"a home looks at the shard before it asks": func(r *opaqueRules) {
			r.unchecked = true
			atTheEndOfAnEpoch(r)
		},
		"a node moves keys after its handover": func(r *opaqueRules) {
			r.openAnswer = true
			afterHandover(r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := guardedOpaque()
			change(broken.opaque)
			steps, _ := explore(broken, depth)
			t.Logf("broken after %d steps", steps)
			is.True(steps > 0)
		})
	}
}
