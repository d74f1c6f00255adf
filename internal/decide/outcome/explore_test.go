package outcome

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The exploration visits every state that a limited number of steps can reach. Copies of a request arrive at any node
// at any time or never. The agreed shard is renewed with any members at any time, and each node learns of it or lags
// behind for good, as in a pause, a network partition or an outage of the platform. Responses to writes are lost, the
// keepers extend the shard, processes restart, and keys are handed over in messages that are lost, late or duplicated.
// Shard, Promises and Table are the production types. The model doesn't store what a writer read earlier, because every
// write compares and swaps.

// rules selects the guards to disable, and what is explored.
type rules struct {
	name string
	// owner returns the node that may run a key at its timestamp.
	owner func(s Shard, key string, millis int64) (Node, bool)
	// renew returns the successor of a shard at a given time.
	renew func(s Shard, r Renewal, now int64) (Shard, bool)
	// blindWrites lets nodes write a successor of the shard that they know, without a comparison.
	blindWrites bool
	// skipKeeper lets a node write without asking a keeper. extendUnsettled lets a node extend the shard after a write
	// without a response.
	skipKeeper      bool
	extendUnsettled bool
	// sameIncarnation lets a restarted process keep its incarnation.
	sameIncarnation bool
	// fixedShard leaves the agreed shard unchanged, so that more of the other steps can be explored.
	fixedShard bool
	// deliverToAnyIncarnation lets a restarted process take over keys that were sent to its earlier incarnation.
	deliverToAnyIncarnation bool
	// handOverUnclosed lets a node keep running keys that it has handed over.
	handOverUnclosed bool
	// opaque, if set, explores an opaque key instead of the keys with a timestamp.
	opaque *opaqueRules
}

// maxRestarts returns the limit of restarts, and that of handovers.
func (r rules) maxRestarts() int {
	if r.fixedShard {
		return 3
	}
	return 1
}

var allGuards = rules{
	name:  "all guards",
	owner: func(s Shard, key string, millis int64) (Node, bool) { return s.Owner("", key, millis) },
	renew: func(s Shard, r Renewal, _ int64) (Shard, bool) { return s.Renew(r) },
}

var modelConfig = TableConfig{Window: time.Hour, MaxAhead: time.Hour, MaxKeys: 10, MaxBytes: 1 << 20}

// modelKeys have timestamps in different epochs.
var modelKeys = []struct {
	text   string
	millis int64
}{{"first", 1}, {"second", 2}}

type modelNode struct {
	self        Node
	known       Shard
	table       *Table[string]
	successorOf map[Node]bool
	handedOver  bool
	// promises are the node's promises as a keeper. unsettled reports whether a write of the node has had no response
	// yet.
	promises  map[string]promise
	unsettled bool
	// pendingMove is set while an owner asks earlier owners to move the opaque key. It is replaced, never changed.
	pendingMove *pendingMove
}

type message struct {
	to      Node
	owners  []Node
	entries []Entry[string]
}

type model struct {
	rules    rules
	now      int64
	written  Shard
	writes   int
	nodes    []modelNode
	messages []message
	restarts int
	runs     []int
	// lastRun is when the opaque key last ran. ranTwice reports whether it ran again within the window.
	lastRun  int64
	ranTwice bool
}

// newModel returns two nodes that know the same shard. The first one is its writer and owns all keys.
func newModel(r rules) model {
	m := model{rules: r, runs: make([]int, len(modelKeys))}
	for _, name := range []string{"a", "b"} {
		m.nodes = append(m.nodes, modelNode{self: Node{name, 1}, table: NewTable[string](modelConfig), successorOf: map[Node]bool{}})
	}
	m.write(0, 0, 0)
	for i := range m.nodes {
		m.learn(i, m.written, true)
	}
	return m
}

func (m model) clone() model {
	m.runs = slices.Clone(m.runs)
	m.nodes = slices.Clone(m.nodes)
	return m
}

// copyBeforeChange gives the node its own table and map, so that a change doesn't affect other states.
func (n *modelNode) copyBeforeChange() {
	n.successorOf = maps.Clone(n.successorOf)
	copied := *n.table
	copied.entries = map[string]*Entry[string]{}
	for id, e := range n.table.entries {
		entry := *e
		copied.entries[id] = &entry
	}
	n.table = &copied
}

// encode returns a string that differs between different states.
func (m model) encode() string {
	b := []byte{byte(m.now), byte(m.writes), byte(m.restarts), byte(len(m.messages))}
	b = appendShard(b, m.written)
	b = append(b, byte(m.lastRun))
	for _, count := range m.runs {
		b = append(b, byte(count))
	}
	for _, n := range m.nodes {
		b = appendShard(append(b, byte(n.self.Incarnation)), n.known)
		for incarnation := uint64(1); incarnation <= 4; incarnation++ {
			b = append(b, byte(bit(n.successorOf[Node{"a", incarnation}])), byte(bit(n.successorOf[Node{"b", incarnation}])))
		}
		for _, k := range modelKeys {
			_, held := n.table.entries[k.text]
			b = append(b, byte(bit(held)))
		}
		b = append(b, byte(bit(n.handedOver)), byte(bit(n.unsettled)))
		b = n.appendOpaque(b)
		held := n.promises["shard"]
		b = append(b, byte(held.term), byte(held.until), byte(bit(held.fenced)))
	}
	for _, sent := range m.messages {
		b = append(b, sent.to.Name[0], byte(sent.to.Incarnation), byte(len(sent.entries)), byte(len(sent.owners)))
		for _, owner := range sent.owners {
			b = append(b, owner.Name[0], byte(owner.Incarnation))
		}
		for _, e := range sent.entries {
			b = append(b, e.ID[0], byte(e.State), byte(e.UnixMillis), byte(e.MovedTo.Incarnation))
		}
	}
	return string(b)
}

func appendShard(b []byte, s Shard) []byte {
	b = append(b, byte(s.Term), byte(s.Limit))
	for _, n := range s.Keepers {
		b = append(b, n.Name[0], byte(n.Incarnation))
	}
	for _, e := range s.Epochs {
		b = append(b, byte(e.Start), byte(e.Until), byte(len(e.Members)))
		for _, member := range e.Members {
			b = append(b, member.Name[0], byte(member.Incarnation))
		}
	}
	return append(b, 255)
}

func bit(set bool) int {
	if set {
		return 1
	}
	return 0
}

func (m model) successors() []model {
	if m.rules.opaque != nil {
		return m.opaqueSuccessors()
	}
	var states []model
	step := m.step(&states)
	step(func(c *model) bool { c.now++; return c.now <= 3 && !c.rules.fixedShard })
	for i := range m.nodes {
		for k := range modelKeys {
			step(func(c *model) bool { return c.request(i, k) })
		}
		step(func(c *model) bool { return c.learn(i, c.written, true) })
		step(func(c *model) bool { return c.learn(i, c.nodes[1-i].known, false) })
		step(func(c *model) bool { return !c.rules.fixedShard && c.extend(i) })
		step(func(c *model) bool { return c.restart(i) })
		step(func(c *model) bool { return c.handOver(i) })
		for member := 0; member < len(m.nodes) && !m.rules.fixedShard; member++ {
			for asked := range 3 {
				step(func(c *model) bool { return c.write(i, member, asked) })
			}
		}
	}
	for i := range m.messages {
		step(func(c *model) bool { return c.deliver(i) })
	}
	return states
}

// step returns a function that takes a step on a copy of the state, and appends the copy if the step is possible.
func (m model) step(states *[]model) func(func(*model) bool) {
	return func(f func(*model) bool) {
		c := m.clone()
		if f(&c) {
			*states = append(*states, c)
		}
	}
}

var modelTime = time.UnixMilli(2)

func (m *model) request(node, key int) bool {
	n, k := &m.nodes[node], modelKeys[key]
	owner, ok := m.rules.owner(n.known, k.text, k.millis)
	if !ok || (!n.answersFor(owner)) {
		return false
	}
	n.copyBeforeChange()
	verdict := n.table.Begin(modelTime, RequestCopy{ID: k.text, UnixMillis: k.millis, Timed: true, Fingerprint: 1})
	if verdict.Action != Run {
		return false
	}
	m.runs[key]++
	n.table.Settle(modelTime, k.text, Done, "", 0)
	return true
}

// learn updates the node's shard if the given version is newer. A version from the platform also settles a write
// without a response.
func (m *model) learn(node int, s Shard, platform bool) bool {
	n := &m.nodes[node]
	if platform {
		n.unsettled = false
	}
	if s.Last().Until > n.known.Last().Until {
		n.known = s
	}
	return true
}

// write makes the member the owner of all keys in a new epoch, after asking a keeper. The writer gets no response until
// it learns what the platform holds, which may be never.
func (m *model) write(node, member, asked int) bool {
	writer := &m.nodes[node]
	base, ok := m.writeBase(node, asked)
	if !ok || m.writes >= 4 {
		return false
	}
	r := Renewal{Until: m.now + 2, Zone: "zone", Keepers: []Node{writer.self, m.nodes[1-node].self}, Reserve: 2}
	r.Members = []Member{{Node: m.nodes[member].self}}
	next, changed := m.rules.renew(base, r, m.now)
	if !changed {
		return false
	}
	writer.unsettled = writer.unsettled || (!m.rules.extendUnsettled && next.Term != m.written.Term)
	m.written = next
	m.writes++
	return true
}

// writeBase returns the shard on which the node builds: the platform's, extended to the end that the asked keeper has
// promised. An asked of 2 means that no keeper can be asked.
func (m *model) writeBase(node, asked int) (Shard, bool) {
	n := &m.nodes[node]
	base := m.written
	if m.rules.blindWrites || n.known.Last().Until > base.Last().Until {
		base = n.known
	}
	if m.rules.skipKeeper || len(m.written.Keepers) == 0 || m.written.IsFirstKeeper(n.self) {
		return base, asked == 0
	}
	if asked == 2 {
		return base.Extend(m.written.Limit), m.now >= m.written.Limit
	}
	keeper := m.keeper(m.written.Keepers[asked])
	if keeper == nil {
		return base, false
	}
	return base.Extend(keeper.writablePromises().Fence("shard", m.written.Term)), true
}

// keeper returns the node that runs as the given process, or nil.
func (m *model) keeper(k Node) *modelNode {
	for i := range m.nodes {
		if m.nodes[i].self == k {
			return &m.nodes[i]
		}
	}
	return nil
}

// writablePromises returns a copy of the node's promises that may be changed.
func (n *modelNode) writablePromises() *Promises {
	n.promises = maps.Clone(n.promises)
	if n.promises == nil {
		n.promises = map[string]promise{}
	}
	return &Promises{byShard: n.promises}
}

// extend moves the end of the shard if both keepers promise it.
func (m *model) extend(node int) bool {
	n := &m.nodes[node]
	until := min(m.now+2, n.known.Limit)
	if n.unsettled || !n.known.IsFirstKeeper(n.self) || until <= n.known.Last().Until {
		return false
	}
	for _, k := range n.known.Keepers {
		keeper := m.keeper(k)
		if keeper == nil || !keeper.writablePromises().Grant("shard", n.known.Term, until) {
			return false
		}
	}
	n.known = n.known.Extend(until)
	return true
}

func (m *model) restart(node int) bool {
	n := &m.nodes[node]
	if m.restarts >= m.rules.maxRestarts() {
		return false
	}
	m.restarts++
	self := n.self
	if !m.rules.sameIncarnation {
		self.Incarnation++
	}
	*n = modelNode{self: self, table: NewTable[string](modelConfig), successorOf: map[Node]bool{}}
	return true
}

func (m *model) handOver(node int) bool {
	n := &m.nodes[node]
	if n.handedOver || len(m.messages) >= m.rules.maxRestarts() {
		return false
	}
	n.copyBeforeChange()
	n.handedOver = true
	if !m.rules.handOverUnclosed {
		n.table.Close()
	}
	byName := func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	}
	owners := append(slices.SortedFunc(maps.Keys(n.successorOf), byName), n.self)
	entries := n.table.Entries()
	slices.SortFunc(entries, func(a, b Entry[string]) int { return cmp.Compare(a.ID, b.ID) })
	m.messages = append(slices.Clone(m.messages), message{to: m.nodes[1-node].self, owners: owners, entries: entries})
	return true
}

func (m *model) deliver(i int) bool {
	received := m.messages[i]
	var n *modelNode
	for j := range m.nodes {
		if to := &m.nodes[j]; to.self == received.to || (m.rules.deliverToAnyIncarnation && to.self.Name == received.to.Name) {
			n = to
		}
	}
	if n == nil || n.handedOver {
		return false
	}
	n.copyBeforeChange()
	for _, owner := range received.owners {
		n.successorOf[owner] = true
	}
	n.table.Reclaim(n.answersFor)
	for _, e := range received.entries {
		if e.State != Moved || !n.answersFor(e.MovedTo) {
			n.table.Restore(m.tableTime(), e)
		}
	}
	return true
}

func (n *modelNode) answersFor(owner Node) bool {
	return owner == n.self || n.successorOf[owner]
}

// explore returns the fewest steps to a state in which a key ran twice, or 0 if there is none, and the number of
// visited states.
func explore(r rules, depth int) (int, int) {
	seen := map[string]bool{}
	first := newModel(r)
	if r.opaque != nil {
		first = newOpaqueModel(r)
	}
	states := []model{first}
	for steps := 1; steps <= depth; steps++ {
		var following []model
		for _, m := range states {
			for _, n := range m.successors() {
				if n.ranTwice || slices.Max(n.runs) > 1 {
					return steps, len(seen)
				}
				if encoded := n.encode(); !seen[encoded] {
					seen[encoded] = true
					following = append(following, n)
				}
			}
		}
		states = following
	}
	return 0, len(seen)
}

const (
	// modelDepth is the number of steps explored, and fixedShardDepth the number with a fixed shard.
	modelDepth      = 6
	fixedShardDepth = 9
)

func TestKeyRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	steps, states := explore(allGuards, modelDepth)
	t.Logf("%d states in %d steps", states, modelDepth)
	is.Equal(steps, 0)
	fixed := allGuards
	fixed.fixedShard = true
	steps, states = explore(fixed, fixedShardDepth)
	t.Logf("%d states in %d steps with a fixed shard", states, fixedShardDepth)
	is.Equal(steps, 0)
}

// Without any one of the guards, the exploration finds a key that runs twice.
func TestEveryGuardIsNeeded(t *testing.T) {
	t.Parallel()
	disabled := map[string]func(*rules){
		"owner from the newest epoch, whatever the key's timestamp": func(r *rules) {
			r.owner = func(s Shard, key string, _ int64) (Node, bool) { return s.Last().owner("", key) }
		},
		"a new epoch begins at the writer's clock": func(r *rules) {
			r.renew = func(s Shard, n Renewal, now int64) (Shard, bool) {
				if last := s.Last(); last.Until > now && !slices.Equal(last.Members, n.Members) {
					s = Shard{Epochs: slices.Clone(s.Epochs)}
					s.Epochs[len(s.Epochs)-1].Until = now
				}
				return s.Renew(n)
			}
		},
		"writes without a comparison":                            func(r *rules) { r.blindWrites = true },
		"writes without asking a keeper":                         func(r *rules) { r.skipKeeper = true },
		"a restarted process keeps its incarnation":              func(r *rules) { r.sameIncarnation = true },
		"a handover reaches a restarted process":                 func(r *rules) { r.deliverToAnyIncarnation, r.fixedShard = true, true },
		"the shard is extended after a write without a response": func(r *rules) { r.extendUnsettled = true },
		"keys are handed over without being closed":              func(r *rules) { r.handOverUnclosed = true },
	}
	for name, change := range disabled {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			broken := allGuards
			change(&broken)
			steps, _ := explore(broken, fixedShardDepth)
			t.Logf("a key ran twice after %d steps", steps)
			is.True(steps > 0)
		})
	}
}
