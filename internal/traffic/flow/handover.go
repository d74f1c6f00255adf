package flow

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// handovers are what other nodes handed over to this one, and what it will hand over itself.
type handovers struct {
	// parts are those of handovers that are not complete.
	parts map[string]map[int]peer.HandoverPart
	// taken are the complete ones.
	taken map[string]bool
	// homes are the earlier nodes for whose keys this one answers, with the time until which that matters.
	homes map[outcome.Node]time.Time
}

func newHandovers() *handovers {
	return &handovers{
		parts: map[string]map[int]peer.HandoverPart{},
		taken: map[string]bool{},
		homes: map[outcome.Node]time.Time{},
	}
}

func (o *handovers) answersFor(home outcome.Node) bool {
	_, ok := o.homes[home]
	return ok
}

// add keeps a part and returns all parts once they are complete.
func (o *handovers) add(p peer.HandoverPart) []peer.HandoverPart {
	if o.taken[p.ID] {
		return nil
	}
	if o.parts[p.ID] == nil {
		o.parts[p.ID] = map[int]peer.HandoverPart{}
	}
	o.parts[p.ID][p.Part] = p
	if len(o.parts[p.ID]) < p.Parts {
		return nil
	}
	var all []peer.HandoverPart
	for _, part := range o.parts[p.ID] {
		all = append(all, part)
	}
	delete(o.parts, p.ID)
	o.taken[p.ID] = true
	return all
}

// TakeOver takes in a part of a leaving node's keys. A node that leaves itself never takes any.
func (h *Home) TakeOver(ctx context.Context, p peer.HandoverPart) (bool, error) {
	if p.Target != h.config.Self.Incarnation {
		return false, errOtherProcess
	}
	taken := h.takePart(p)
	if taken {
		h.config.Board.Do(ctx, func(b *board.Board) { b.Self.AnswersFor = h.homeNames() })
	}
	return taken, nil
}

// errOtherProcess says that keys were sent to a former process of this name.
var errOtherProcess = errors.New("the keys are for a former process of this node")

// homeNames returns the names of the nodes for which this one answers.
func (h *Home) homeNames() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return homeNames(h.handovers.homes)
}

// takePart reports whether the part is taken. A handover that was complete before this node began to leave stays
// taken, however late a part comes again.
func (h *Home) takePart(p peer.HandoverPart) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving && !h.handovers.taken[p.ID] {
		return false
	}
	for _, part := range h.handovers.add(p) {
		h.restore(part, time.Now())
	}
	return true
}

func (h *Home) restore(p peer.HandoverPart, now time.Time) {
	for _, home := range p.Homes {
		h.handovers.homes[home] = now.Add(h.config.Table.Window + h.config.Table.Ahead)
	}
	h.keys.Claim(h.answersFor)
	for _, k := range p.Keys {
		if k.State == outcome.Moved && h.answersFor(k.MovedTo) {
			continue
		}
		h.keys.Restore(now, k)
	}
}

// forgetHomes drops the earlier nodes whose keys are all too old by now.
func (o *handovers) forgetHomes(now time.Time) {
	for home, until := range o.homes {
		if now.After(until) {
			delete(o.homes, home)
		}
	}
}

// homeName is how a node with its incarnation is written on the board.
func homeName(n outcome.Node) string {
	return n.Name + "@" + strconv.FormatUint(n.Incarnation, 36)
}

func homeNames(homes map[outcome.Node]time.Time) string {
	names := make([]string, 0, len(homes))
	for home := range homes {
		names = append(names, homeName(home))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

const (
	// handoverTimeout bounds one message of a handover.
	handoverTimeout = time.Second
	// handoverTries is how often a message is sent before the successor is given up.
	handoverTries = 5
	// partBytes is about how much one message of a handover carries.
	partBytes = 512 << 10
	// closePoll is the time between looks at what still runs.
	closePoll = 5 * time.Millisecond
)

// Successor chooses the node that gets the keys: of the same service and availability zone where there is one.
func Successor(b *board.Board) (membership.Member, bool) {
	var best membership.Member
	bestScore := -1
	for _, name := range slices.Sorted(maps.Keys(b.Members.ByNode)) {
		m := b.Members.ByNode[name]
		if m.Node == b.Self.Node || m.State != membership.Up {
			continue
		}
		if score := closeness(b, m); score > bestScore {
			best, bestScore = m, score
		}
	}
	return best, bestScore >= 0
}

// closeness is higher for a better successor.
func closeness(b *board.Board, m membership.Member) int {
	score := 0
	if m.Service == b.Backend.Service {
		score += 2
	}
	if m.Zone == b.Self.Zone {
		score++
	}
	return score
}

// HandoverResult says how a handover ended.
type HandoverResult int

// The results.
const (
	// HandoverUnclear means that the successor may have the keys. They must not go to another node.
	HandoverUnclear HandoverResult = iota
	// HandoverTaken means that the successor has the keys.
	HandoverTaken
	// HandoverRefused means that the successor takes nothing because it leaves too.
	HandoverRefused
)

// HandOver lets no further key run here, waits until none runs, and hands all keys to the successor. It returns how
// many keys there were.
func (h *Home) HandOver(ctx context.Context, peers *peer.Client, successor membership.Member) (int, HandoverResult) {
	h.leave()
	for h.Size().Running > 0 {
		if !pause.For(ctx, closePoll) {
			return 0, HandoverUnclear
		}
	}
	parts, keys := h.parts(successor.Incarnation)
	for _, p := range parts {
		if result := sendPart(ctx, peers, successor.PeerAddress, p); result != HandoverTaken {
			return keys, result
		}
	}
	return keys, HandoverTaken
}

// leave closes the table of keys and refuses the handovers of others.
func (h *Home) leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = true
	h.keys.Close()
}

func sendPart(ctx context.Context, peers *peer.Client, address string, p peer.HandoverPart) HandoverResult {
	for range handoverTries {
		taken, err := peers.HandOver(ctx, address, p, handoverTimeout)
		switch {
		case err == nil && taken:
			return HandoverTaken
		case err == nil:
			return HandoverRefused
		case !pause.For(ctx, copyPause):
			return HandoverUnclear
		}
	}
	return HandoverUnclear
}

// parts splits the keys into messages. The homes go with every part.
func (h *Home) parts(target uint64) ([]peer.HandoverPart, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	homes := []outcome.Node{h.config.Self}
	for home := range h.handovers.homes {
		homes = append(homes, home)
	}
	parts := []peer.HandoverPart{{Homes: homes}}
	size, keys := 0, 0
	for _, e := range h.keys.Entries() {
		if size+e.Bytes > partBytes && size > 0 {
			parts = append(parts, peer.HandoverPart{Homes: homes})
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Keys = append(last.Keys, e)
		size += e.Bytes
		keys++
	}
	id := uuid.NewString()
	for i := range parts {
		parts[i].ID, parts[i].Part, parts[i].Parts, parts[i].Target = id, i, len(parts), target
	}
	return parts, keys
}
