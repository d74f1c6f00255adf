package flow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// Runner runs requests on this node.
type Runner interface {
	Receive(ctx context.Context, r *call.Request) call.Reply
}

const (
	// replyGracePeriod is how long an answer may be on its way after the other node has ended the attempt.
	replyGracePeriod = 20 * time.Millisecond
	// resolveTimeout bounds one such question.
	resolveTimeout = 500 * time.Millisecond
	// maxSends is how often one attempt is sent while its fate is open. The receiver takes it once.
	maxSends = 4
	// resendDelay is the time before the next copy.
	resendDelay = 50 * time.Millisecond
	// maxChallenges is how many challenges one attempt answers.
	maxChallenges = 3
)

// exchange carries one attempt to another node and watches over it, so that a silent connection is noticed. For a
// non-idempotent request it finds out what became of the attempt where the answer is lost, and sends further copies
// only to the same process, which takes the attempt once.
type exchange struct {
	peers            *peer.Client
	local            Runner
	typicalDurations *typicalDurations
	log              *events.Limiter
	// self is the name of this node.
	self string
}

// callKeyed returns the reply, or a *peer.Error that says whether a copy was sent.
func (x *exchange) callKeyed(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	attempt.AttemptID = newAttemptID()
	attempt.TargetIncarnation = target.Incarnation
	attempt.Confirm = ""
	for range maxChallenges {
		reply, err := x.sendUntilAnswered(ctx, target, attempt)
		if err != nil || reply.Confirm == "" {
			return reply, err
		}
		attempt.Confirm = reply.Confirm
	}
	return call.Refused(call.NotAdmitted, call.ReasonOverload, ownerRetryAfter), nil
}

// sendUntilAnswered sends copies until one is answered.
func (x *exchange) sendUntilAnswered(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	if target.Node == x.self {
		return x.local.Receive(ctx, attempt), nil
	}
	backoff := resendDelay
	for sends := 1; ; sends++ {
		reply, err := x.send(ctx, target.PeerAddress, attempt, x.resolveKeyed)
		if err == nil {
			return reply, nil
		}
		var failure *peer.Error
		if errors.As(err, &failure) && failure.Sent {
			attempt.Resent = true
			attempt.Confirm = ""
		}
		if !attempt.Resent || sends == maxSends || errors.Is(err, errOutcomeUnresolvable) || !pause.For(ctx, backoff) {
			return call.Reply{}, &peer.Error{Address: target.PeerAddress, Sent: attempt.Resent, Reason: failureReason(err), Cause: err}
		}
		backoff *= 2
	}
}

// errOutcomeUnresolvable says that the other node can't tell what became of the attempt and never will.
var errOutcomeUnresolvable = errors.New("the node was restarted since")

func failureReason(err error) call.Reason {
	var failure *peer.Error
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return call.ReasonPeerUnreachable
}

// callIdempotent sends one attempt of an idempotent request. It gives up on it, so that another instance can be
// tried, where the other node is not working on it or can't be asked.
func (x *exchange) callIdempotent(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	attempt.TargetIncarnation = target.Incarnation
	return x.send(ctx, target.PeerAddress, attempt, x.resolveIdempotent)
}

// callAtMostOnce sends one attempt of a request that may run once at most and has no key. Where the answer is lost it asks
// the process that got the attempt, which then never begins it; only that makes it safe to send the request elsewhere.
func (x *exchange) callAtMostOnce(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	attempt.TargetIncarnation = target.Incarnation
	reply, err := x.send(ctx, target.PeerAddress, attempt, x.resolveAtMostOnce)
	var failure *peer.Error
	if !errors.As(err, &failure) || !failure.Sent {
		return reply, err
	}
	if result, ok := x.resolveAtMostOnce(ctx, target.PeerAddress, attempt); ok && result.err == nil {
		return result.reply, nil
	}
	return reply, err
}

// resolveAtMostOnce asks about an attempt and reports true where that settles it. While nobody can be asked, waiting goes on.
func (x *exchange) resolveAtMostOnce(ctx context.Context, address string, attempt *call.Request) (attemptResult, bool) {
	resolution, err := x.queryAttempt(ctx, address, attempt)
	if err != nil || ctx.Err() != nil || resolution.Known && resolution.State == outcome.Running {
		return attemptResult{}, false
	}
	x.dropConnections(address)
	if resolution.Known && resolution.State == outcome.NotRun {
		return attemptResult{reply: call.Refused(call.NotRun, call.ReasonPeerSilent, ownerRetryAfter)}, true
	}
	return attemptResult{err: &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent, Cause: errNotRunning}}, true
}

// queryAttempt asks the process that an attempt without a key was sent to what became of it.
func (x *exchange) queryAttempt(ctx context.Context, address string, attempt *call.Request) (peer.Resolution, error) {
	question := peer.ResolveQuery{
		AttemptID:   attempt.AttemptID,
		Service:     attempt.Service,
		Incarnation: attempt.TargetIncarnation,
	}
	return x.peers.Resolve(ctx, address, question, resolveTimeout)
}

// resolver asks the node at the address about an attempt whose answer takes long. It reports false where waiting
// goes on.
type resolver func(ctx context.Context, address string, attempt *call.Request) (attemptResult, bool)

// send sends one copy and watches over it. The watch ends the copy where it settles the attempt first.
func (x *exchange) send(ctx context.Context, address string, attempt *call.Request, resolve resolver) (call.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	sent := *attempt
	kind := workKind{service: attempt.Service, kind: attempt.Kind}
	monitor := &attemptMonitor{results: make(chan attemptResult, 1)}
	defer monitor.group.Wait()
	start := time.Now()
	monitor.schedule(ctx, x.typicalDurations.checkDelay(kind), func() (attemptResult, bool) { return resolve(ctx, address, &sent) }, cancel)
	reply, err := x.peers.Call(ctx, address, &sent)
	monitor.stop()
	cancel()
	x.reportUnreachable(err)
	if err == nil && reply.Outcome == call.Ran {
		x.typicalDurations.observe(kind, time.Since(start))
	}
	if result, ok := monitor.result(); ok && err != nil {
		return result.reply, result.err
	}
	return reply, err
}

// attemptMonitor asks about an attempt whose answer takes long, again and again, each time after twice the patience.
type attemptMonitor struct {
	results chan attemptResult
	group   conc.WaitGroup

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// schedule asks once the patience has passed. Where that settles the attempt, a last moment is given to the answer itself.
func (m *attemptMonitor) schedule(ctx context.Context, delay time.Duration, resolve func() (attemptResult, bool), cancel context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.timer = time.AfterFunc(delay, func() {
		m.spawn(func() {
			result, ok := resolve()
			if !ok {
				m.schedule(ctx, 2*delay, resolve, cancel)
				return
			}
			if result.err != nil {
				pause.For(ctx, replyGracePeriod)
			}
			m.results <- result
			cancel()
		})
	})
}

// spawn runs f in the group, unless the watch has ended.
func (m *attemptMonitor) spawn(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopped {
		m.group.Go(f)
	}
}

// stop ends the watch; what is being asked goes on.
func (m *attemptMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
}

// result returns what settled the attempt.
func (m *attemptMonitor) result() (attemptResult, bool) {
	select {
	case result := <-m.results:
		return result, true
	default:
		return attemptResult{}, false
	}
}

// reportUnreachable logs a node that no connection could be made to.
func (x *exchange) reportUnreachable(err error) {
	var failure *peer.Error
	if errors.As(err, &failure) && !failure.Sent && failure.Reason == call.ReasonPeerUnreachable {
		x.log.Emit(time.Now(), events.PeerUnreachable, events.Fields{"peer": failure.Address, "error": failure.Cause.Error()})
	}
}

// dropConnections closes the kept connections to a node on one of which an attempt was lost.
func (x *exchange) dropConnections(address string) {
	x.peers.CloseIdle(address)
	x.log.Emit(time.Now(), events.PeerSilent, events.Fields{"peer": address})
}

// attemptResult is the end of one exchange.
type attemptResult struct {
	reply call.Reply
	err   error
}

// resolveKeyed asks what became of the attempt. It reports false where that is still open.
func (x *exchange) resolveKeyed(ctx context.Context, address string, attempt *call.Request) (attemptResult, bool) {
	resolution, err := x.peers.Resolve(ctx, address, peer.ResolveQuery{
		AttemptID:   attempt.AttemptID,
		Key:         attempt.Key,
		Service:     attempt.Service,
		Incarnation: attempt.TargetIncarnation,
		Delegated:   attempt.Delegated,
	}, resolveTimeout)
	if err != nil {
		if ctx.Err() == nil {
			x.dropConnections(address)
		}
		return attemptResult{}, false
	}
	return resultOf(address, resolution)
}

// resultOf turns the answer about an attempt into its end, if that is known.
func resultOf(address string, r peer.Resolution) (attemptResult, bool) {
	notRunning := &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent, Cause: errNotRunning}
	switch {
	case !r.Known:
		return attemptResult{err: &peer.Error{Address: address, Sent: true, Reason: call.ReasonHomeUnknown, Cause: errOutcomeUnresolvable}}, true
	case r.State == outcome.Running:
		return attemptResult{}, false
	case r.State == outcome.Done:
		return attemptResult{reply: r.Reply}, true
	case r.State == outcome.NotRun:
		return attemptResult{reply: call.Refused(call.NotRun, call.ReasonOverload, ownerRetryAfter)}, true
	case r.State == outcome.Moved:
		return attemptResult{reply: refusalReplies[outcome.RefuseClosed]}, true
	default:
		return attemptResult{err: notRunning}, true
	}
}

// resolveIdempotent asks whether the other node is working on the attempt of an idempotent request.
func (x *exchange) resolveIdempotent(ctx context.Context, address string, attempt *call.Request) (attemptResult, bool) {
	resolution, err := x.queryAttempt(ctx, address, attempt)
	if ctx.Err() != nil || err == nil && resolution.State == outcome.Running {
		return attemptResult{}, false
	}
	x.dropConnections(address)
	return attemptResult{err: &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent, Cause: errNotRunning}}, true
}

// errNotRunning says that the other node is not working on an attempt although it was sent.
var errNotRunning = errors.New("the other node is not working on the attempt")
