package flow

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// KeyedSenderConfig configures a KeyedSender.
type KeyedSenderConfig struct {
	Board  *board.Loop
	Sender *Sender
	// Zones lists all availability zones. It must be the same on all nodes.
	Zones []string
	// Window is how long callers may send a request with the same key again.
	Window time.Duration
}

// KeyedSender sends the requests that enter a node. It marks non-idempotent requests without a key, so that each of
// their attempts gets a minted key, and sends requests with a key from their caller to the owner of the key. Idempotent
// requests go to the Sender directly.
type KeyedSender struct {
	config      KeyedSenderConfig
	silentNodes *silentNodes
}

// NewKeyedSender returns a KeyedSender.
func NewKeyedSender(config KeyedSenderConfig) *KeyedSender {
	return &KeyedSender{config: config, silentNodes: newSilentNodes(config.Sender.config.Peers)}
}

// Send sends the request and returns the reply.
func (k *KeyedSender) Send(ctx context.Context, r *call.Request) call.Reply {
	if r.Idempotent {
		return k.config.Sender.Send(ctx, r)
	}
	r.ReceivedAt = time.Now()
	if r.Key == "" {
		r.KeyMinted = true
		return k.config.Sender.Send(ctx, r)
	}
	key, err := outcome.ParseKey(r.Key)
	if err != nil {
		return call.Refused(call.NotAdmitted, call.ReasonBadKey, 0)
	}
	reply, admitted := k.config.Sender.admit(r)
	if !admitted {
		return reply
	}
	reply = k.sendToOwner(ctx, r, key)
	k.config.Sender.observe(r, &reply)
	return reply
}

// ownerPollInterval is the delay before the owner of a key is looked up again while it changes.
const ownerPollInterval = 25 * time.Millisecond

// sendToOwner sends the request to the owner of its key and lends it some of its attempts.
func (k *KeyedSender) sendToOwner(ctx context.Context, r *call.Request, key outcome.Key) call.Reply {
	attempt := *r
	attempt.AttemptsLeft = r.Attempts.Lend()
	reply := k.followOwner(ctx, &attempt, key)
	reply.AttemptsUsed = attemptsUsed(&reply, attempt.AttemptsLeft)
	r.Attempts.Return(attempt.AttemptsLeft, reply.AttemptsUsed)
	return reply
}

// followOwner sends the attempt to the owner of its key. While the owner changes, it looks the owner up again and resends
// the attempt.
func (k *KeyedSender) followOwner(ctx context.Context, attempt *call.Request, key outcome.Key) call.Reply {
	start := time.Now()
	useSuccessor := false
	for {
		target, refusal, ok := k.locateOwner(attempt.Service, key, useSuccessor)
		if !ok {
			return unknownIfResent(refusal, attempt.Resent)
		}
		if !k.silentNodes.isResponsive(ctx, target.PeerAddress) {
			return unknownIfResent(call.Refused(call.NotAdmitted, call.ReasonOwnerUnreachable, ownerRetryAfter), attempt.Resent)
		}
		reply, err := k.config.Sender.callOwner(ctx, target.Member, attempt)
		k.silentNodes.observe(target.PeerAddress, err)
		if err == nil && !isNotOwnerReply(reply) {
			return unknownIfResent(reply, attempt.Resent)
		}
		useSuccessor = !useSuccessor
		if time.Since(start) > k.followTimeout(target) || !pause.For(ctx, ownerPollInterval) {
			return unknownIfResent(unreachedReply(reply, err), attempt.Resent)
		}
	}
}

// ownerChangeTimeout is how long an attempt is resent while the owner of its key changes.
const ownerChangeTimeout = 2 * time.Second

// presumedOwnerTimeout is how long an attempt is resent if the owner of its key is only presumed. It is the time that a
// membership change takes to spread.
const presumedOwnerTimeout = time.Second

// followTimeout returns how long an attempt is resent while the target refuses it. The ends of the epochs in the local
// availability zone are known here. If a member of that zone is up, refuses and is only the presumed owner, the attempt
// is therefore not resent.
func (k *KeyedSender) followTimeout(target keyLocation) time.Duration {
	switch {
	case !target.presumed:
		return ownerChangeTimeout
	case target.Zone == k.config.Board.Snapshot().Self.Zone && target.State == membership.Up:
		return 0
	}
	return presumedOwnerTimeout
}

// isNotOwnerReply reports whether the node refused because it does not own the key, or is handing its keys over.
func isNotOwnerReply(r call.Reply) bool {
	return r.Outcome == call.NotAdmitted && (r.Reason == call.ReasonDraining || r.Reason == call.ReasonOwnerUnknown)
}

// unknownIfResent changes the outcome of a refusal to unknown if an earlier copy was sent whose outcome is unknown.
func unknownIfResent(r call.Reply, resent bool) call.Reply {
	if r.Outcome == call.NotAdmitted && resent {
		return call.Refused(call.Unknown, call.ReasonPeerSilent, 0)
	}
	return r
}

func unreachedReply(r call.Reply, err error) call.Reply {
	if err == nil {
		return r
	}
	var failure *peer.Error
	if errors.As(err, &failure) && failure.Sent {
		return call.Refused(call.Unknown, failure.Reason, 0)
	}
	return call.Refused(call.NotAdmitted, call.ReasonOwnerUnreachable, ownerRetryAfter)
}

// keyLocation is the node that answers for a key.
type keyLocation struct {
	membership.Member

	// presumed says that the last epoch known here has ended. Only the members of that epoch know whether it was
	// extended, and until when.
	presumed bool
}

// locateOwner returns the node that answers for the key, or the reply if there is none. While the owner of a key is
// leaving, the caller of locateOwner alternates useSuccessor to try both it and its successor.
func (k *KeyedSender) locateOwner(service string, key outcome.Key, useSuccessor bool) (keyLocation, call.Reply, bool) {
	b := k.config.Board.Snapshot()
	owner, _, agreed := ownerOf(b, k.config.Zones, service, key, k.config.Window)
	if agreed {
		m, refusal, ok := memberFor(b, owner, useSuccessor)
		return keyLocation{Member: m}, refusal, ok
	}
	refusal := noOwnerReply(key, time.Now(), k.config.Window)
	owner, presumed := presumedOwner(b, k.config.Zones, service, key)
	if !presumed || refusal.Reason != call.ReasonOwnerUnknown {
		return keyLocation{}, refusal, false
	}
	m, _, ok := memberFor(b, owner, useSuccessor)
	return keyLocation{Member: m, presumed: true}, refusal, ok
}

// presumedOwner returns the node to query about a key whose owner is not agreed here. It returns none if the availability
// zone of the last epoch is unreachable, because the outcome of the request would then be reported as unknown.
func presumedOwner(b *board.Board, zones []string, service string, key outcome.Key) (outcome.Node, bool) {
	shard := b.KeyOwners.Shards[outcome.ShardOf(zones, key.Text)]
	zone := shard.Last().Zone
	_, unreached := b.ZoneReachability.UnreachableSince[zone]
	if unreached {
		return outcome.Node{}, false
	}
	millis := key.UnixMillis
	if !key.Timed {
		millis = time.Now().UnixMilli()
	}
	return shard.PresumedOwner(service, key.Text, millis)
}

// memberFor returns the member that answers for the keys of the owner, or the reply if there is none.
func memberFor(b *board.Board, owner outcome.Node, useSuccessor bool) (membership.Member, call.Reply, bool) {
	if m, ok := memberAnsweringFor(b, owner); ok {
		if successor, ok := b.Members.ByNode[m.Successor]; ok && useSuccessor {
			return successor, call.Reply{}, true
		}
		return m, call.Reply{}, true
	}
	m, restarted := b.Members.ByNode[owner.Name]
	if restarted {
		return m, call.Refused(call.Unknown, call.ReasonOwnerUnknown, 0), false
	}
	return m, call.Refused(call.NotAdmitted, call.ReasonOwnerUnreachable, ownerRetryAfter), false
}

// noOwnerReply returns the reply for a key without an agreed owner. A key whose time is outside the accepted range is
// refused permanently, any other temporarily.
func noOwnerReply(key outcome.Key, now time.Time, window time.Duration) call.Reply {
	ahead := time.UnixMilli(key.UnixMillis).Sub(now)
	if key.Timed && (ahead < -window || ahead > maxKeyTimeAhead) {
		return call.Refused(call.NotAdmitted, call.ReasonKeyTime, 0)
	}
	return call.Refused(call.NotAdmitted, call.ReasonOwnerUnknown, ownerRetryAfter)
}

// maxKeyTimeAhead is how far the time of a key may be ahead of the clock of this node before the key is refused
// permanently.
const maxKeyTimeAhead = 30 * time.Second

// memberAnsweringFor returns the member that answers for the keys of a node: the one that took them over, or the node
// itself.
func memberAnsweringFor(b *board.Board, owner outcome.Node) (membership.Member, bool) {
	if m, ok := handoverRecipient(b, owner); ok {
		return m, true
	}
	m, known := b.Members.ByNode[owner.Name]
	return m, known && m.Incarnation == owner.Incarnation
}

// KnowsOwner reports whether the board shows which member answers for the keys of the node.
func KnowsOwner(b *board.Board, owner outcome.Node) bool {
	_, ok := memberAnsweringFor(b, owner)
	return ok
}

// handoverRecipient returns the member that took over the keys of the node and still has them. The records of several
// members may name that node, because members that have handed the keys over in turn and left can still be on the board.
func handoverRecipient(b *board.Board, owner outcome.Node) (membership.Member, bool) {
	var latest membership.Member
	found := false
	for _, m := range b.Members.ByNode {
		answers := answersFor(m, owner)
		if answers && (!found || answersFor(m, outcome.Node{Name: latest.Node, Incarnation: latest.Incarnation})) {
			latest, found = m, true
		}
	}
	return latest, found
}

// answersFor reports whether the record of the member says that it has the keys of the node.
func answersFor(m membership.Member, owner outcome.Node) bool {
	return m.AnswersFor != "" && strings.Contains(" "+m.AnswersFor+" ", " "+ownerName(owner)+" ")
}

// admit reports whether a request with a key from its caller is admitted. A root request that would be shed further down
// its call chain is refused.
func (s *Sender) admit(r *call.Request) (call.Reply, bool) {
	if r.Depth > 0 {
		return call.Reply{}, true
	}
	return s.entryThrottles.admit(time.Now(), r)
}

func (s *Sender) observe(r *call.Request, reply *call.Reply) {
	if r.Depth == 0 {
		s.entryThrottles.observe(time.Now(), r, reply)
	}
}

// callOwner sends the attempt to the owner of its key.
func (s *Sender) callOwner(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	start := time.Now()
	s.views.begin(target.Node, attempt.Root.Rank)
	reply, err := s.exchange().callKeyed(ctx, target, attempt)
	s.views.end(target.Node, start, time.Now(), attempt, reply)
	return reply, err
}

// Delegate sends a request from the owner of its key to another instance. Instances that refuse because they are leaving
// have started nothing and are skipped.
func (s *Sender) Delegate(ctx context.Context, r *call.Request) call.Reply {
	tried := []string{s.config.Board.Snapshot().Self.Node}
	for {
		target, ok := s.choose(r, tried)
		if !ok {
			return call.Refused(call.NotRun, call.ReasonNoInstance, noInstanceRetryAfter)
		}
		delegated := *r
		delegated.Delegated = true
		delegated.Resent = false
		reply := s.callSoleOwner(ctx, target, &delegated)
		if !isDrainingReply(reply) {
			return reply
		}
		tried = append(tried, target.Node)
	}
}

// isDrainingReply reports whether an instance refused because it is leaving.
func isDrainingReply(r call.Reply) bool {
	return r.Outcome == call.NotRun && r.Reason == call.ReasonDraining
}

// mintKey gives the attempt a new key that names the target as its owner. Each attempt gets its own key, because the
// caller has not seen the earlier ones.
func mintKey(r *call.Request, target membership.Member) {
	owner := outcome.Node{Name: target.Node, Incarnation: target.Incarnation}
	r.Key = outcome.Mint(owner, uuid.Must(uuid.NewV7()))
}

// callSoleOwner sends an attempt that no other node can have sent, and returns its outcome. Its key was minted for this
// attempt, or the attempt is delegated.
func (s *Sender) callSoleOwner(ctx context.Context, target membership.Member, attempt *call.Request) call.Reply {
	reply, err := s.callOwner(ctx, target, attempt)
	if err != nil {
		return failureReply(err, attempt)
	}
	if reply.Outcome != call.NotAdmitted {
		return reply
	}
	if attempt.Resent {
		return call.Refused(call.Unknown, call.ReasonPeerSilent, 0)
	}
	refusal := call.Refused(call.NotRun, reply.Reason, reply.RetryAfter)
	if reply.Reason == call.ReasonKeyTime {
		refusal = call.Refused(call.NotRun, call.ReasonOwnerUnknown, ownerRetryAfter)
	}
	return refusal
}

func (s *Sender) exchange() *exchange {
	return &exchange{
		peers:            s.config.Peers,
		local:            s.config.Receiver,
		typicalDurations: s.typicalDurations,
		log:              s.config.Events,
		self:             s.config.Board.Snapshot().Self.Node,
	}
}
