// Package flow sends requests between nodes and runs them. The Sender chooses an instance for a request and retries
// within limits. The KeyedSender sends requests with an idempotency key to the key owner, which runs each at most once.
// The Receiver admits a request and runs it on the local backend server.
//
// # Usage
//
//	senderConfig.Receiver = flow.NewReceiver(receiverConfig)
//	sender := flow.NewSender(senderConfig)
//	reply := sender.Send(ctx, request)
package flow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/drain"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// SenderConfig configures a Sender.
type SenderConfig struct {
	Board    *board.Loop
	Peers    *peer.Client
	Receiver Runner
	Budgets  *Budgets
	Routing  routing.Config
	Throttle throttle.Config
	// MaxRefusals is how many times nodes may refuse a request without involving their backend servers. After that, each
	// further attempt counts as a retry.
	MaxRefusals int
	// MaxFleetRetries limits the retries for one service that all nodes together may make in a burst. With 0, only the
	// budget of each node limits them.
	MaxFleetRetries float64
	// Limit returns the limit of a request that is sent to another node now, given its deadline. With nil, its own deadline
	// is the only one.
	Limit func(deadline time.Time) drain.Limit
	// Reachability keeps requests away from nodes that do not answer. With nil, such nodes are not tracked.
	Reachability *ReachabilityMonitor
	// Events receives the events for operators, and Requests the decisions on single requests.
	Events   *events.Limiter
	Requests *events.Limiter
}

// Sender sends requests to instances.
type Sender struct {
	config           SenderConfig
	views            *instanceViews
	entryThrottles   *entryThrottles
	typicalDurations *typicalDurations
	departures       *departures
}

// NewSender returns a Sender.
func NewSender(config SenderConfig) *Sender {
	s := &Sender{
		config:           config,
		views:            newInstanceViews(config.Routing),
		entryThrottles:   newEntryThrottles(config.Throttle),
		typicalDurations: newTypicalDurations(),
		departures:       newDepartures(),
	}
	if config.Reachability != nil {
		config.Reachability.onChange = s.views.setUnreachable
	}
	return s
}

// Send sends the request to an instance of its service, retries it if that is allowed, and returns the last reply. A root
// request that would be shed further down its call chain is refused immediately.
func (s *Sender) Send(ctx context.Context, r *call.Request) call.Reply {
	if r.Depth > 0 {
		return s.send(ctx, r)
	}
	refusal, admitted := s.entryThrottles.admit(time.Now(), r)
	if !admitted {
		return refusal
	}
	reply := s.send(ctx, r)
	s.entryThrottles.observe(time.Now(), r, &reply)
	return reply
}

func (s *Sender) send(ctx context.Context, r *call.Request) call.Reply {
	state := newSendState()
	for {
		limitDeadline(s.config.Limit, r)
		target, ok := s.choose(r, state.tried)
		if !ok {
			return state.finalReply(state.lastReply)
		}
		lentAttempts := r.Attempts.Lend()
		reply := s.attempt(ctx, target, r, lentAttempts)
		reply.AttemptsUsed = attemptsUsed(&reply, lentAttempts)
		r.Attempts.Return(lentAttempts, reply.AttemptsUsed)
		state.record(target.Node, reply)
		if isCrash(&reply) {
			r.Crashes++
		}
		r.NewConnection = r.NewConnection || reply.Reason == call.ReasonPeerSilent
		if !s.shouldRetry(ctx, r, reply, state) {
			return state.finalReply(reply)
		}
		s.logRetry(target.Node, r, &reply)
	}
}

// limitDeadline applies the limit that the state of the node sets to the request, if it is earlier than the request's deadline.
func limitDeadline(limitOf func(deadline time.Time) drain.Limit, r *call.Request) {
	if limitOf == nil {
		return
	}
	if limit := limitOf(r.Deadline); limit.Deadline.Before(r.Deadline) {
		r.Deadline, r.ReplyGrace = limit.Deadline, limit.ReplyGrace
	}
}

func (s *Sender) logRetry(node string, r *call.Request, reply *call.Reply) {
	s.config.Requests.Emit(time.Now(), events.RequestRetried, events.Fields{
		"request":    r.Root.ID,
		"kind":       r.Kind,
		"service":    r.Service,
		"refused_by": node,
		"reason":     string(reply.Failure()),
	})
}

// attemptsUsed returns how many of the attempts lent to a call count as used. If the reply of the call was lost, all do.
func attemptsUsed(reply *call.Reply, lent int) int {
	if reply.Outcome == call.Unknown && !isCrash(reply) {
		return lent
	}
	return reply.AttemptsUsed
}

// isFreeRefusal reports whether a node refused the request without involving a backend server. Such a refusal
// costs no more than the messages.
func isFreeRefusal(reply *call.Reply) bool {
	if reply.Outcome != call.NotRun || reply.Final {
		return false
	}
	return reply.Reason != call.ReasonBackendShed && reply.Reason != call.ReasonNoInstance
}

// sendState accumulates the results of the attempts of one Send.
type sendState struct {
	tried []string
	// freeRefusals counts the refusals that involved no backend server.
	freeRefusals int
	attemptsUsed int
	// queueingDelay is the total time that the attempts spent in queues. crossZoneBytes is the number of bytes sent
	// between availability zones for them.
	queueingDelay  time.Duration
	crossZoneBytes int64
	// mayHaveRun says that an attempt ran or may have run.
	mayHaveRun bool
	// lastReply is the reply to the last attempt, or the refusal to return if there was no instance to send one to.
	lastReply call.Reply
}

func newSendState() *sendState {
	return &sendState{lastReply: call.Refused(call.NotRun, call.ReasonNoInstance, noInstanceRetryAfter)}
}

func (s *sendState) record(node string, reply call.Reply) {
	s.tried = append(s.tried, node)
	s.lastReply = reply
	s.attemptsUsed += reply.AttemptsUsed
	s.queueingDelay += reply.QueueingDelay
	s.crossZoneBytes += reply.CrossZoneBytes
	if isFreeRefusal(&reply) {
		s.freeRefusals++
	}
	if reply.Outcome == call.Ran || reply.Outcome == call.Unknown {
		s.mayHaveRun = true
	}
}

// finalReply returns the reply for all attempts. If an earlier attempt may have run, a later refusal does not make the
// outcome not_run.
func (s *sendState) finalReply(reply call.Reply) call.Reply {
	reply.AttemptsUsed, reply.QueueingDelay, reply.CrossZoneBytes = s.attemptsUsed, s.queueingDelay, s.crossZoneBytes
	if s.mayHaveRun && reply.Outcome != call.Ran {
		reply.Outcome = call.Unknown
	}
	return reply
}

// noInstanceRetryAfter is the Retry-After time of replies with ReasonNoInstance.
const noInstanceRetryAfter = 500 * time.Millisecond

func (s *Sender) choose(r *call.Request, tried []string) (membership.Member, bool) {
	b := s.config.Board.Snapshot()
	members := b.Members.ByService[r.Service]
	if leaving := s.departures.nodes(members); len(leaving) > 0 {
		tried = slices.Concat(tried, leaving)
	}
	chosen, ok := s.views.choose(r.Service, members, time.Now(), routing.Request{Rank: r.Root.Rank, Kind: r.Kind, IsCall: r.Depth > 0, Target: r.TargetLatency, Tried: tried})
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
	attempt.IsCrossZone = target.Zone != s.config.Board.Snapshot().Self.Zone
	if r.KeyMinted {
		mintKey(&attempt, target)
		r.Key = attempt.Key
		return s.callSoleOwner(ctx, target, &attempt)
	}
	start := time.Now()
	s.views.begin(target.Node, r.Root.Rank)
	reply := s.transmit(ctx, target, &attempt)
	s.views.end(target.Node, start, time.Now(), r, reply)
	s.config.Reachability.observe(target.Node, &reply, time.Since(start))
	if reply.LeavingStart != "" {
		s.departures.record(s.config.Board.Snapshot().Members, target.Node, reply.LeavingStart)
	}
	if attempt.IsCrossZone {
		reply.CrossZoneBytes += exchangedBytes(r, &reply)
	}
	return reply
}

// messageBytes is the approximate size of the ids, times and headers of a request and its reply.
const messageBytes = 250

// exchangedBytes returns the approximate number of bytes exchanged between two nodes for a request.
func exchangedBytes(r *call.Request, reply *call.Reply) int64 {
	return int64(messageBytes + len(r.Body) + len(reply.Body))
}

func (s *Sender) transmit(ctx context.Context, target membership.Member, attempt *call.Request) call.Reply {
	if target.Node == s.config.Board.Snapshot().Self.Node {
		return s.config.Receiver.Receive(ctx, attempt)
	}
	exchange := s.exchange()
	send := exchange.callAtMostOnce
	if attempt.Idempotent {
		send = exchange.callIdempotent
	}
	reply, err := send(ctx, target, attempt)
	if err != nil {
		return failureReply(err, attempt)
	}
	return reply
}

// failureReply returns the reply for a failed exchange. If the attempt was sent, its outcome is unknown and all attempts
// lent to it count as used.
func failureReply(err error, attempt *call.Request) call.Reply {
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

// shouldRetry reports whether to try another instance. If that is a retry, it charges the retry budget and the attempts
// of the request. A successful reply credits the budget.
func (s *Sender) shouldRetry(ctx context.Context, r *call.Request, reply call.Reply, state *sendState) bool {
	if reply.Failure() == call.ReasonNone {
		s.config.Budgets.earn(r.Service)
		return false
	}
	candidates := s.views.count(r.Service) - len(state.tried)
	if isDrainingReply(reply) {
		return candidates > 0 // a leaving instance has started nothing, and each instance is tried once
	}
	if isFreeRefusal(&reply) && state.freeRefusals <= s.config.MaxRefusals {
		return candidates > 0 && ctx.Err() == nil
	}
	if s.config.MaxFleetRetries > 0 {
		s.config.Budgets.limitToShare(r.Service, s.config.MaxFleetRetries, len(s.config.Board.Snapshot().Members.ByNode))
	}
	verdict := s.config.Budgets.decide(r.Service, retry.Attempt{
		Idempotent:       r.Idempotent,
		Started:          reply.Outcome == call.Ran || reply.Outcome == call.Unknown,
		Final:            reply.Final,
		FailedDownstream: reply.DownstreamFailure != call.ReasonNone,
		AttemptsLeft:     r.Attempts.Left(),
		TimeLeft:         time.Until(r.Deadline),
		Candidates:       candidates,
	})
	if verdict == retry.GiveUp || !r.Attempts.Take() {
		return false
	}
	state.attemptsUsed++
	return true
}

// newAttemptID returns a random id. No two concurrent attempts share one, except with negligible probability.
func newAttemptID() string {
	const base = 36
	return strconv.FormatUint(rand.Uint64(), base)
}

// globalRandom uses the random source of the process.
type globalRandom struct{}

// IntN returns a number in [0, n).
func (globalRandom) IntN(n int) int {
	return rand.IntN(n)
}

// Float64 returns a number in [0, 1).
func (globalRandom) Float64() float64 {
	return rand.Float64()
}
