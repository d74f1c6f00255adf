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
	// complete are the complete ones.
	complete map[string]bool
	// formerOwners are the earlier nodes for whose keys this one answers, with the time until which that matters.
	formerOwners map[outcome.Node]time.Time
}

func newHandovers() *handovers {
	return &handovers{
		parts:        map[string]map[int]peer.HandoverPart{},
		complete:     map[string]bool{},
		formerOwners: map[outcome.Node]time.Time{},
	}
}

func (o *handovers) answersFor(owner outcome.Node) bool {
	_, ok := o.formerOwners[owner]
	return ok
}

// add keeps a part and returns all parts once they are complete.
func (o *handovers) add(p peer.HandoverPart) []peer.HandoverPart {
	if o.complete[p.ID] {
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
	o.complete[p.ID] = true
	return all
}

// TakeOver takes in a part of a leaving node's keys. A node that leaves itself never takes any.
func (o *KeyOwner) TakeOver(ctx context.Context, p peer.HandoverPart) (bool, error) {
	if p.TargetIncarnation != o.config.Self.Incarnation {
		return false, errOtherIncarnation
	}
	accepted := o.acceptPart(p)
	if accepted {
		o.config.Board.Do(ctx, func(b *board.Board) { b.Self.AnswersFor = o.formerOwnerNames() })
	}
	return accepted, nil
}

// errOtherIncarnation says that keys were sent to a former process of this name.
var errOtherIncarnation = errors.New("the keys are for a former process of this node")

// formerOwnerNames returns the names of the nodes for which this one answers.
func (o *KeyOwner) formerOwnerNames() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ownerNames(o.handovers.formerOwners)
}

// acceptPart reports whether the part is taken. A handover that was complete before this node began to leave stays
// taken, however late a part comes again.
func (o *KeyOwner) acceptPart(p peer.HandoverPart) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaving && !o.handovers.complete[p.ID] {
		return false
	}
	for _, part := range o.handovers.add(p) {
		o.restoreKeys(part, time.Now())
	}
	return true
}

func (o *KeyOwner) restoreKeys(p peer.HandoverPart, now time.Time) {
	for _, owner := range p.Owners {
		o.handovers.formerOwners[owner] = now.Add(o.config.Table.Window + o.config.Table.MaxAhead)
	}
	o.keys.Reclaim(o.answersFor)
	for _, k := range p.Keys {
		if k.State == outcome.Moved && o.answersFor(k.MovedTo) {
			continue
		}
		o.keys.Restore(now, k)
	}
}

// expireFormerOwners drops the earlier nodes whose keys are all too old by now.
func (o *handovers) expireFormerOwners(now time.Time) {
	for owner, until := range o.formerOwners {
		if now.After(until) {
			delete(o.formerOwners, owner)
		}
	}
}

// ownerName is how a node with its incarnation is written on the board.
func ownerName(n outcome.Node) string {
	return n.Name + "@" + strconv.FormatUint(n.Incarnation, 36)
}

func ownerNames(owners map[outcome.Node]time.Time) string {
	names := make([]string, 0, len(owners))
	for owner := range owners {
		names = append(names, ownerName(owner))
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

const (
	// handoverTimeout bounds one message of a handover.
	handoverTimeout = time.Second
	// maxHandoverAttempts is how often a message is sent before the successor is given up.
	maxHandoverAttempts = 5
	// handoverPartBytes is about how much one message of a handover carries.
	handoverPartBytes = 512 << 10
	// runningKeysPollInterval is the time between looks at what still runs.
	runningKeysPollInterval = 5 * time.Millisecond
)

// ChooseSuccessor chooses the node that gets the keys: of the same service and availability zone where there is one.
func ChooseSuccessor(b *board.Board) (membership.Member, bool) {
	var best membership.Member
	bestScore := -1
	for _, name := range slices.Sorted(maps.Keys(b.Members.ByNode)) {
		m := b.Members.ByNode[name]
		if m.Node == b.Self.Node || m.State != membership.Up {
			continue
		}
		if score := successorScore(b, m); score > bestScore {
			best, bestScore = m, score
		}
	}
	return best, bestScore >= 0
}

// successorScore is higher for a better successor.
func successorScore(b *board.Board, m membership.Member) int {
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
	// HandoverUnknown means that the successor may have the keys. They must not go to another node.
	HandoverUnknown HandoverResult = iota
	// HandoverAccepted means that the successor has the keys.
	HandoverAccepted
	// HandoverRefused means that the successor takes nothing because it leaves too.
	HandoverRefused
)

// HandOver lets no further key run here, waits until none runs, and hands all keys to the successor. It returns how
// many keys there were.
func (o *KeyOwner) HandOver(ctx context.Context, peers *peer.Client, successor membership.Member) (int, HandoverResult) {
	o.beginLeaving()
	for o.Size().Running > 0 {
		if !pause.For(ctx, runningKeysPollInterval) {
			return 0, HandoverUnknown
		}
	}
	parts, keys := o.handoverParts(successor.Incarnation)
	for _, p := range parts {
		if result := sendHandoverPart(ctx, peers, successor.PeerAddress, p); result != HandoverAccepted {
			return keys, result
		}
	}
	return keys, HandoverAccepted
}

// beginLeaving closes the table of keys and refuses the handovers of others.
func (o *KeyOwner) beginLeaving() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
	o.keys.Close()
}

func sendHandoverPart(ctx context.Context, peers *peer.Client, address string, p peer.HandoverPart) HandoverResult {
	for range maxHandoverAttempts {
		accepted, err := peers.HandOver(ctx, address, p, handoverTimeout)
		switch {
		case err == nil && accepted:
			return HandoverAccepted
		case err == nil:
			return HandoverRefused
		case !pause.For(ctx, resendDelay):
			return HandoverUnknown
		}
	}
	return HandoverUnknown
}

// handoverParts splits the keys into messages. The homes go with every part.
func (o *KeyOwner) handoverParts(target uint64) ([]peer.HandoverPart, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	owners := []outcome.Node{o.config.Self}
	for owner := range o.handovers.formerOwners {
		owners = append(owners, owner)
	}
	parts := []peer.HandoverPart{{Owners: owners}}
	size, keys := 0, 0
	for _, e := range o.keys.Entries() {
		if size+e.Bytes > handoverPartBytes && size > 0 {
			parts = append(parts, peer.HandoverPart{Owners: owners})
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Keys = append(last.Keys, e)
		size += e.Bytes
		keys++
	}
	id := uuid.NewString()
	for i := range parts {
		parts[i].ID, parts[i].Part, parts[i].Parts, parts[i].TargetIncarnation = id, i, len(parts), target
	}
	return parts, keys
}
