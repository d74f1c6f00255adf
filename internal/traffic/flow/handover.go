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

// handovers holds the key handovers that this node receives, and the earlier owners whose keys it took over.
type handovers struct {
	// parts holds the received parts of incomplete handovers, by handover id and index.
	parts map[string]map[int]peer.HandoverPart
	// complete holds the ids of the handovers that were received completely.
	complete map[string]bool
	// formerOwners are the earlier owners whose keys this node answers for, with the time after which all their keys have
	// expired.
	formerOwners map[outcome.Node]time.Time
}

func newHandovers() *handovers {
	return &handovers{
		parts:        map[string]map[int]peer.HandoverPart{},
		complete:     map[string]bool{},
		formerOwners: map[outcome.Node]time.Time{},
	}
}

func (h *handovers) answersFor(owner outcome.Node) bool {
	_, ok := h.formerOwners[owner]
	return ok
}

// add stores a part. It returns all parts of the handover when the last one arrives, and nil otherwise.
func (h *handovers) add(p peer.HandoverPart) []peer.HandoverPart {
	if h.complete[p.ID] {
		return nil
	}
	if h.parts[p.ID] == nil {
		h.parts[p.ID] = map[int]peer.HandoverPart{}
	}
	h.parts[p.ID][p.Part] = p
	if len(h.parts[p.ID]) < p.Parts {
		return nil
	}
	var all []peer.HandoverPart
	for _, part := range h.parts[p.ID] {
		all = append(all, part)
	}
	delete(h.parts, p.ID)
	h.complete[p.ID] = true
	return all
}

// TakeOver accepts a part of the keys of a leaving node. A node that is leaving itself refuses.
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

// errOtherIncarnation reports that the keys were sent to an earlier incarnation of this node.
var errOtherIncarnation = errors.New("the keys are for a former process of this node")

// formerOwnerNames returns the names of the earlier owners that this node answers for, as written in its record.
func (o *KeyOwner) formerOwnerNames() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ownerNames(o.handovers.formerOwners)
}

// acceptPart reports whether the part is accepted. If a handover was complete before this node began to leave, its parts
// are accepted however late they are sent again.
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

// expireFormerOwners removes the earlier owners whose keys have all expired.
func (h *handovers) expireFormerOwners(now time.Time) {
	for owner, until := range h.formerOwners {
		if now.After(until) {
			delete(h.formerOwners, owner)
		}
	}
}

// ownerName returns the name of a node and its incarnation, as written in the records of the nodes that answer for it.
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
	// handoverTimeout is the timeout of one handover message.
	handoverTimeout = time.Second
	// maxHandoverAttempts is how often a handover message is sent before the handover to this successor is given up.
	maxHandoverAttempts = 5
	// handoverPartBytes is the approximate size limit of the keys in one handover message.
	handoverPartBytes = 512 << 10
	// runningKeysPollInterval is the interval between checks for requests that are still running.
	runningKeysPollInterval = 5 * time.Millisecond
)

// ChooseSuccessor returns the node that should take over the keys. It prefers the same service, then the same
// availability zone. Processes that have refused the keys, given by node and incarnation, are not chosen.
func ChooseSuccessor(b *board.Board, refused map[string]uint64) (membership.Member, bool) {
	var best membership.Member
	bestScore := -1
	for _, name := range slices.Sorted(maps.Keys(b.Members.ByNode)) {
		m := b.Members.ByNode[name]
		if m.Node == b.Self.Node || m.State != membership.Up || hasRefused(refused, m) {
			continue
		}
		if score := successorScore(b, m); score > bestScore {
			best, bestScore = m, score
		}
	}
	return best, bestScore >= 0
}

func hasRefused(refused map[string]uint64, m membership.Member) bool {
	incarnation, found := refused[m.Node]
	return found && incarnation == m.Incarnation
}

// successorScore returns a number that is higher for a better successor.
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

// HandoverResult is the result of a handover.
type HandoverResult int

// Results of a handover.
const (
	// HandoverUnknown means that the successor may have the keys. They must not be sent to another node.
	HandoverUnknown HandoverResult = iota
	// HandoverAccepted means that the successor has the keys.
	HandoverAccepted
	// HandoverRefused means that the successor accepted no keys because it is leaving too.
	HandoverRefused
)

// HandOver stops the start of requests with keys, waits until the running ones have ended, and sends all keys to the
// successor. It returns the number of keys.
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

// beginLeaving closes the key table and makes this node refuse handovers from other nodes.
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

// handoverParts splits the keys into messages and returns them with the number of keys. Every message names all owners
// whose keys are handed over.
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
