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

// KeyedConfig sets a KeyedSender up.
type KeyedConfig struct {
	Board  *board.Loop
	Sender *Sender
	// Zones are all availability zones; the same list everywhere.
	Zones []string
	// Window is how long callers may send a key again.
	Window time.Duration
}

// KeyedSender is where requests enter a node. It gives a key to each non-idempotent request without one, and sends
// a request with a caller's key to the home of the key. Idempotent requests go straight to the Sender.
type KeyedSender struct {
	config   KeyedConfig
	silences *silences
}

// NewKeyedSender returns a sender.
func NewKeyedSender(config KeyedConfig) *KeyedSender {
	return &KeyedSender{config: config, silences: newSilences(config.Sender.config.Peers)}
}

// Send sends the request on and returns the reply.
func (k *KeyedSender) Send(ctx context.Context, r *call.Request) call.Reply {
	if r.Idempotent {
		return k.config.Sender.Send(ctx, r)
	}
	r.Entered = time.Now()
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
	reply = k.sendHome(ctx, r, key)
	k.config.Sender.learn(r, &reply)
	return reply
}

// relocatePause is the time before another look at who decides about a key, while that changes hands.
const relocatePause = 25 * time.Millisecond

// sendHome sends the request to the node that decides about its key, with a part of its attempts.
func (k *KeyedSender) sendHome(ctx context.Context, r *call.Request, key outcome.Key) call.Reply {
	attempt := *r
	attempt.AttemptsLeft = r.Attempts.Lend()
	reply := k.follow(ctx, &attempt, key)
	reply.AttemptsUsed = spent(&reply, attempt.AttemptsLeft)
	r.Attempts.Return(attempt.AttemptsLeft, reply.AttemptsUsed)
	return reply
}

// follow sends the attempt to the node that decides about its key, and follows the key while it changes hands.
func (k *KeyedSender) follow(ctx context.Context, attempt *call.Request, key outcome.Key) call.Reply {
	start := time.Now()
	useSuccessor := false
	for {
		target, presumed, refusal, ok := k.locate(attempt.Service, key, useSuccessor)
		if !ok {
			return openly(refusal, attempt.Resent)
		}
		if !k.silences.answers(ctx, target.PeerAddress) {
			return openly(call.Refused(call.NotAdmitted, call.ReasonHomeUnreachable, homeRetry), attempt.Resent)
		}
		patience := relocatePatience
		if presumed {
			patience = k.patience(target)
		}
		reply, err := k.config.Sender.toHome(ctx, target, attempt)
		k.silences.note(target.PeerAddress, err)
		if err == nil && !moved(reply) {
			return openly(reply, attempt.Resent)
		}
		useSuccessor = !useSuccessor
		if time.Since(start) > patience || !pause.For(ctx, relocatePause) {
			return openly(unreached(reply, err), attempt.Resent)
		}
	}
}

// relocatePatience is how long a key that changes hands is followed.
const relocatePatience = 2 * time.Second

// presumedPatience is how long a key is followed whose home is only presumed: as long as a change of members takes to
// spread.
const presumedPatience = time.Second

// patience is how long a key is followed whose home is only presumed to be the target. The ends of the own zone are
// known here, so what its members refuse is refused at once.
func (k *KeyedSender) patience(target membership.Member) time.Duration {
	if target.Zone == k.config.Board.Snapshot().Self.Zone && target.State == membership.Up {
		return 0
	}
	return presumedPatience
}

// moved reports whether the node refused because it does not, or no longer, decide about the key.
func moved(r call.Reply) bool {
	return r.Outcome == call.NotAdmitted && (r.Reason == call.ReasonDraining || r.Reason == call.ReasonHomeUnknown)
}

// openly turns a refusal into unknown where an earlier copy was sent whose fate is open.
func openly(r call.Reply, open bool) call.Reply {
	if r.Outcome == call.NotAdmitted && open {
		return call.Refused(call.Unknown, call.ReasonPeerSilent, 0)
	}
	return r
}

func unreached(r call.Reply, err error) call.Reply {
	if err == nil {
		return r
	}
	var failure *peer.Error
	if errors.As(err, &failure) && failure.Sent {
		return call.Refused(call.Unknown, failure.Reason, 0)
	}
	return call.Refused(call.NotAdmitted, call.ReasonHomeUnreachable, homeRetry)
}

// locate returns the node that decides about the key, or the reply where there is none. While the home of a key
// leaves, its successor is asked in turn with it. A node is presumed to decide where the end of the epochs that is known
// here has passed: only the members of the last epoch know how far it was moved meanwhile.
func (k *KeyedSender) locate(service string, key outcome.Key, useSuccessor bool) (m membership.Member, presumed bool, refusal call.Reply, ok bool) {
	b := k.config.Board.Snapshot()
	home, _, agreed := homeOf(b, k.config.Zones, service, key, k.config.Window)
	if !agreed {
		refusal = noHome(key, time.Now(), k.config.Window)
		home, presumed = presumedHome(b, k.config.Zones, service, key)
		if !presumed || refusal.Reason != call.ReasonHomeUnknown {
			return m, false, refusal, false
		}
	}
	m, unanswered, ok := answering(b, home, useSuccessor)
	if !presumed {
		refusal = unanswered
	}
	return m, presumed, refusal, ok
}

// presumedHome returns the node to ask about a key whose home is not known here. Nobody is asked in a zone that is not
// reached: the answer would be that the fate of the request is unknown.
func presumedHome(b *board.Board, zones []string, service string, key outcome.Key) (outcome.Node, bool) {
	shard := b.Homes.Shards[outcome.ShardOf(zones, key.Text)]
	keeper := shard.Last().Zone
	_, unreached := b.Reach.Unreached[keeper]
	if unreached {
		return outcome.Node{}, false
	}
	millis := key.UnixMillis
	if !key.Timed {
		millis = time.Now().UnixMilli()
	}
	return shard.Presumed(service, key.Text, millis)
}

// answering returns the member that answers for the keys of the home, or the reply where there is none.
func answering(b *board.Board, home outcome.Node, useSuccessor bool) (membership.Member, call.Reply, bool) {
	if m, ok := present(b, home); ok {
		if successor, ok := b.Members.ByNode[m.Successor]; ok && useSuccessor {
			return successor, call.Reply{}, true
		}
		return m, call.Reply{}, true
	}
	m, restarted := b.Members.ByNode[home.Name]
	if restarted {
		return m, call.Refused(call.Unknown, call.ReasonHomeUnknown, 0), false
	}
	return m, call.Refused(call.NotAdmitted, call.ReasonHomeUnreachable, homeRetry), false
}

// noHome tells a key whose time can never be right from one whose home is not agreed yet.
func noHome(key outcome.Key, now time.Time, window time.Duration) call.Reply {
	ahead := time.UnixMilli(key.UnixMillis).Sub(now)
	if key.Timed && (ahead < -window || ahead > keyAhead) {
		return call.Refused(call.NotAdmitted, call.ReasonKeyTime, 0)
	}
	return call.Refused(call.NotAdmitted, call.ReasonHomeUnknown, homeRetry)
}

// keyAhead is how far ahead of the node's clock the time of a key may lie and still be worth another try.
const keyAhead = 30 * time.Second

// present returns the member that answers for the keys of a node: the one to which they were handed over, or the node
// itself.
func present(b *board.Board, home outcome.Node) (membership.Member, bool) {
	if m, ok := heir(b, home); ok {
		return m, true
	}
	m, known := b.Members.ByNode[home.Name]
	return m, known && m.Incarnation == home.Incarnation
}

// KnowsHome reports whether the board shows who answers for the keys of the node.
func KnowsHome(b *board.Board, home outcome.Node) bool {
	_, ok := present(b, home)
	return ok
}

// heir returns the member to which the keys of the node were handed over, and by which they were not handed on: the
// record of one that has left may still stand on the board.
func heir(b *board.Board, home outcome.Node) (membership.Member, bool) {
	var latest membership.Member
	found := false
	for _, m := range b.Members.ByNode {
		holds := answersFor(m, home)
		if holds && (!found || answersFor(m, outcome.Node{Name: latest.Node, Incarnation: latest.Incarnation})) {
			latest, found = m, true
		}
	}
	return latest, found
}

// answersFor reports whether the member says that it has the keys of the node.
func answersFor(m membership.Member, home outcome.Node) bool {
	return m.AnswersFor != "" && strings.Contains(" "+m.AnswersFor+" ", " "+homeName(home)+" ")
}

// admit refuses a root request with a caller's key that would be shed further down.
func (s *Sender) admit(r *call.Request) (call.Reply, bool) {
	if r.Depth > 0 {
		return call.Reply{}, true
	}
	return s.entry.offer(time.Now(), r)
}

func (s *Sender) learn(r *call.Request, reply *call.Reply) {
	if r.Depth == 0 {
		s.entry.learn(time.Now(), r, reply)
	}
}

// toHome sends the attempt to the node that decides about its key.
func (s *Sender) toHome(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	start := time.Now()
	s.views.begin(target.Node, attempt.Root.Rank)
	reply, err := s.exchange().call(ctx, target, attempt)
	s.views.end(target.Node, start, time.Now(), attempt, reply)
	return reply, err
}

// Delegate passes a request on from the home of its key to another instance, and past those that leave, which have
// started nothing.
func (s *Sender) Delegate(ctx context.Context, r *call.Request) call.Reply {
	tried := []string{s.config.Board.Snapshot().Self.Node}
	for {
		target, ok := s.choose(r, tried)
		if !ok {
			return call.Refused(call.NotRun, call.ReasonNoInstance, noInstanceRetry)
		}
		passed := *r
		passed.Delegated = true
		passed.Resent = false
		reply := s.decided(ctx, target, &passed)
		if !isLeaving(reply) {
			return reply
		}
		tried = append(tried, target.Node)
	}
}

// isLeaving reports whether an instance refused because it leaves.
func isLeaving(r call.Reply) bool {
	return r.Outcome == call.NotRun && r.Reason == call.ReasonDraining
}

// mint gives the request a key that names the target as its home. Each attempt gets its own, because the caller has
// not seen the earlier ones.
func mint(r *call.Request, target membership.Member) {
	home := outcome.Node{Name: target.Node, Incarnation: target.Incarnation}
	r.Key = outcome.Mint(home, uuid.Must(uuid.NewV7()))
}

// decided sends an attempt that nobody else can have sent, and returns what became of it.
func (s *Sender) decided(ctx context.Context, target membership.Member, attempt *call.Request) call.Reply {
	reply, err := s.toHome(ctx, target, attempt)
	if err != nil {
		return failedReply(err, attempt)
	}
	if reply.Outcome != call.NotAdmitted {
		return reply
	}
	if attempt.Resent {
		return call.Refused(call.Unknown, call.ReasonPeerSilent, 0)
	}
	refusal := call.Refused(call.NotRun, reply.Reason, reply.RetryAfter)
	if reply.Reason == call.ReasonKeyTime {
		refusal = call.Refused(call.NotRun, call.ReasonHomeUnknown, homeRetry)
	}
	return refusal
}

func (s *Sender) exchange() *exchange {
	return &exchange{
		peers: s.config.Peers,
		local: s.config.Receiver,
		paces: s.paces,
		log:   s.config.Events,
		self:  s.config.Board.Snapshot().Self.Node,
	}
}
