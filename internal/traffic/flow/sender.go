// Package flow takes requests through a node: the Sender chooses an instance for a request and tries again within
// bounds; the Receiver admits a request and runs it on the local backend server.
//
// # Usage
//
//	receiver := flow.NewReceiver(flow.ReceiverConfig{...})
//	sender := flow.NewSender(flow.SenderConfig{...})
//	reply := sender.Send(ctx, request)
package flow

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// SenderConfig sets a Sender up.
type SenderConfig struct {
	Board    *board.Loop
	Peers    *peer.Client
	Receiver Runner
	Budgets  *Budgets
	Routing  routing.Config
	Throttle throttle.Config
	// MaxRefusals is how many nodes may refuse a request, beside their backend servers, before it is given up.
	MaxRefusals int
	// FleetRetries is how many retries for one service all nodes together may make at once; 0 for no bound but each node's.
	FleetRetries float64
	// Reach keeps requests away from nodes that give no answer; nil where nothing does.
	Reach *Reach
	// Events takes what operators should know, and Requests what was decided about single requests.
	Events   *events.Limiter
	Requests *events.Limiter
}

// Sender sends requests to instances.
type Sender struct {
	config SenderConfig
	views  *views
	entry  *entry
	paces  *paces
}

// NewSender returns a sender.
func NewSender(config SenderConfig) *Sender {
	s := &Sender{
		config: config,
		views:  newViews(config.Routing),
		entry:  newEntry(config.Throttle),
		paces:  newPaces(),
	}
	if config.Reach != nil {
		config.Reach.changed = s.views.setLost
	}
	return s
}

// Send sends the request to an instance of its service, again where that is allowed, and returns the last reply.
// A root request that would be shed further down is refused at once.
func (s *Sender) Send(ctx context.Context, r *call.Request) call.Reply {
	if r.Depth > 0 {
		return s.send(ctx, r)
	}
	refusal, admitted := s.entry.offer(time.Now(), r)
	if !admitted {
		return refusal
	}
	reply := s.send(ctx, r)
	s.entry.learn(time.Now(), r, &reply)
	return reply
}

func (s *Sender) send(ctx context.Context, r *call.Request) call.Reply {
	t := newTrial()
	for {
		target, ok := s.choose(r, t.tried)
		if !ok {
			return t.end(t.last)
		}
		lent := r.Attempts.Lend()
		reply := s.attempt(ctx, target, r, lent)
		reply.AttemptsUsed = spent(&reply, lent)
		r.Attempts.Return(lent, reply.AttemptsUsed)
		t.note(target.Node, reply)
		if crashed(&reply) {
			r.Crashes++
		}
		r.NewConnection = r.NewConnection || reply.Reason == call.ReasonPeerSilent
		if !s.again(ctx, r, reply, t) {
			return t.end(reply)
		}
		s.logAgain(target.Node, r, &reply)
	}
}

func (s *Sender) logAgain(node string, r *call.Request, reply *call.Reply) {
	s.config.Requests.Emit(time.Now(), events.RequestRetried, events.Fields{
		"request":    r.Root.ID,
		"kind":       r.Kind,
		"service":    r.Service,
		"refused_by": node,
		"reason":     string(reply.Failure()),
	})
}

// spent returns how many of the attempts lent to a call count as used: all, where its own reply was lost.
func spent(reply *call.Reply, lent int) int {
	if reply.Outcome == call.Unknown && !crashed(reply) {
		return lent
	}
	return reply.AttemptsUsed
}

// isFree reports whether a node refused a request that reached no backend server, which costs nothing but the message.
func isFree(reply *call.Reply) bool {
	if reply.Outcome != call.NotRun || reply.Final {
		return false
	}
	return reply.Reason != call.ReasonBackendShed && reply.Reason != call.ReasonNoInstance
}

// trial is what the attempts of one Send have come to.
type trial struct {
	tried []string
	// free counts the refusals that reached no backend server.
	free int
	used int
	// waited is how long they stood in queues, and farBytes how many bytes went between availability zones for them.
	waited   time.Duration
	farBytes int64
	// mayHaveRun says that an attempt ran, or may have.
	mayHaveRun bool
	// last is the reply to the last attempt, or what is said where there is nobody to send one to.
	last call.Reply
}

func newTrial() *trial {
	return &trial{last: call.Refused(call.NotRun, call.ReasonNoInstance, noInstanceRetry)}
}

func (t *trial) note(node string, reply call.Reply) {
	t.tried = append(t.tried, node)
	t.last = reply
	t.used += reply.AttemptsUsed
	t.waited += reply.Waited
	t.farBytes += reply.FarBytes
	if isFree(&reply) {
		t.free++
	}
	if reply.Outcome == call.Ran || reply.Outcome == call.Unknown {
		t.mayHaveRun = true
	}
}

// end returns the reply for all attempts: one that was refused does not undo an earlier one that may have run.
func (t *trial) end(reply call.Reply) call.Reply {
	reply.AttemptsUsed, reply.Waited, reply.FarBytes = t.used, t.waited, t.farBytes
	if t.mayHaveRun && reply.Outcome != call.Ran {
		reply.Outcome = call.Unknown
	}
	return reply
}

// noInstanceRetry is when to come back where no instance is known.
const noInstanceRetry = 500 * time.Millisecond

func (s *Sender) choose(r *call.Request, tried []string) (membership.Member, bool) {
	b := s.config.Board.Snapshot()
	members := b.Members.ByService[r.Service]
	chosen, ok := s.views.choose(r.Service, members, time.Now(), routing.Request{Rank: r.Root.Rank, Kind: r.Kind, IsCall: r.Depth > 0, Target: r.Target, Tried: tried})
	if !ok {
		return membership.Member{}, false
	}
	r.Spilled = chosen.spilled
	return b.Members.ByNode[chosen.node], true
}

func (s *Sender) attempt(ctx context.Context, target membership.Member, r *call.Request, attemptsLeft int) call.Reply {
	attempt := *r
	attempt.AttemptID = newAttemptID()
	attempt.AttemptsLeft = max(attemptsLeft, 0)
	attempt.IsFar = target.Zone != s.config.Board.Snapshot().Self.Zone
	if r.KeyMinted {
		mint(&attempt, target)
		r.Key = attempt.Key
		return s.decided(ctx, target, &attempt)
	}
	start := time.Now()
	s.views.begin(target.Node, r.Root.Rank)
	reply := s.transmit(ctx, target, &attempt)
	s.views.end(target.Node, start, time.Now(), r, reply)
	s.config.Reach.note(target.Node, &reply, time.Since(start))
	if attempt.IsFar {
		reply.FarBytes += exchangedBytes(r, &reply)
	}
	return reply
}

// messageBytes is about how much the ids, times and headers of a request and its reply come to.
const messageBytes = 250

// exchangedBytes returns about how many bytes go between two nodes for a request.
func exchangedBytes(r *call.Request, reply *call.Reply) int64 {
	return int64(messageBytes + len(r.Body) + len(reply.Body))
}

func (s *Sender) transmit(ctx context.Context, target membership.Member, attempt *call.Request) call.Reply {
	if target.Node == s.config.Board.Snapshot().Self.Node {
		return s.config.Receiver.Receive(ctx, attempt)
	}
	exchange := s.exchange()
	send := exchange.callOnce
	if attempt.Idempotent {
		send = exchange.callIdempotent
	}
	reply, err := send(ctx, target, attempt)
	if err != nil {
		return failedReply(err, attempt)
	}
	return reply
}

// failedReply tells what a failed exchange leaves open. All attempts lent to it count as used.
func failedReply(err error, attempt *call.Request) call.Reply {
	var failure *peer.Error
	if !errors.As(err, &failure) {
		failure = &peer.Error{Sent: true, Reason: call.ReasonPeerUnreachable, Cause: err}
	}
	outcome := call.Unknown
	used := attempt.AttemptsLeft
	if !failure.Sent {
		outcome = call.NotRun
		used = 0
	}
	reply := call.Refused(outcome, failure.Reason, failure.RetryAfter)
	reply.AttemptsUsed = used
	return reply
}

// again learns from the reply and reports whether to try another instance, which it charges.
func (s *Sender) again(ctx context.Context, r *call.Request, reply call.Reply, t *trial) bool {
	if reply.Failure() == call.ReasonNone {
		s.config.Budgets.earn(r.Service)
		return false
	}
	candidates := s.views.count(r.Service) - len(t.tried)
	if isLeaving(reply) {
		return candidates > 0 // a leaving instance has started nothing, and each instance is asked once
	}
	if isFree(&reply) && t.free <= s.config.MaxRefusals {
		return candidates > 0 && ctx.Err() == nil
	}
	if s.config.FleetRetries > 0 {
		s.config.Budgets.share(r.Service, s.config.FleetRetries, len(s.config.Board.Snapshot().Members.ByNode))
	}
	verdict := s.config.Budgets.decide(r.Service, retry.Attempt{
		Idempotent:   r.Idempotent,
		Started:      reply.Outcome == call.Ran || reply.Outcome == call.Unknown,
		Final:        reply.Final,
		Deeper:       reply.Deeper != call.ReasonNone,
		AttemptsLeft: r.Attempts.Left(),
		TimeLeft:     time.Until(r.Deadline),
		Candidates:   candidates,
	})
	if verdict == retry.GiveUp || !r.Attempts.Take() {
		return false
	}
	t.used++
	return true
}

// newAttemptID returns an id that no other attempt has at the same time.
func newAttemptID() string {
	const base = 36
	return strconv.FormatUint(rand.Uint64(), base)
}

// globalRandom is the program's own random source.
type globalRandom struct{}

// IntN returns a number from 0 to n-1.
func (globalRandom) IntN(n int) int {
	return rand.IntN(n)
}

// Float64 returns a number from 0 up to, but not including, 1.
func (globalRandom) Float64() float64 {
	return rand.Float64()
}
