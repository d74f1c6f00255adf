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
	// replyGracePeriod is how much longer to wait for the reply after the other node has reported that the attempt is not
	// running.
	replyGracePeriod = 20 * time.Millisecond
	// resolveTimeout is the timeout of one query about an attempt.
	resolveTimeout = 500 * time.Millisecond
	// maxSends limits how often one attempt is sent while its outcome is unknown. The receiver runs it at most once.
	maxSends = 4
	// resendDelay is the delay before an attempt is sent again. It doubles with each copy.
	resendDelay = 50 * time.Millisecond
	// maxChallenges is how many challenges of the key owner are answered for one attempt.
	maxChallenges = 3
)

// exchange sends one attempt to another node and queries that node on another connection while no reply arrives, so that
// a dead connection is detected. If the reply to a non-idempotent request is lost, it asks for the outcome of the
// attempt. Further copies go only to the same process, which runs the attempt at most once.
type exchange struct {
	peers            *peer.Client
	local            Runner
	typicalDurations *typicalDurations
	log              *events.Limiter
	// self is the name of this node.
	self string
}

// callKeyed sends an attempt that has a key and answers the challenges of the key owner. It returns the reply, or a
// *peer.Error that says whether a copy was sent.
func (x *exchange) callKeyed(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	attempt.AttemptID = newAttemptID()
	attempt.TargetIncarnation = target.Incarnation
	attempt.ChallengeToken = ""
	for range maxChallenges {
		reply, err := x.sendUntilAnswered(ctx, target, attempt)
		if err != nil || reply.ChallengeToken == "" {
			return reply, err
		}
		attempt.ChallengeToken = reply.ChallengeToken
	}
	return call.Refused(call.NotAdmitted, call.ReasonOverload, ownerRetryAfter), nil
}

// sendUntilAnswered sends copies of the attempt until one is answered.
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
			attempt.ChallengeToken = ""
		}
		if !attempt.Resent || sends == maxSends || errors.Is(err, errOutcomeUnresolvable) || !pause.For(ctx, backoff) {
			return call.Reply{}, &peer.Error{Address: target.PeerAddress, Sent: attempt.Resent, Reason: failureReason(err), Cause: err}
		}
		backoff *= 2
	}
}

// errOutcomeUnresolvable reports that the process to which the attempt was sent has ended, so that no further query can
// resolve its outcome.
var errOutcomeUnresolvable = errors.New("the node was restarted after the attempt was sent")

func failureReason(err error) call.Reason {
	var failure *peer.Error
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return call.ReasonPeerUnreachable
}

// callIdempotent sends one attempt of an idempotent request. It gives up, so that another instance can be tried, if the
// other node is not working on the attempt or does not answer the query about it.
func (x *exchange) callIdempotent(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	attempt.TargetIncarnation = target.Incarnation
	return x.send(ctx, target.PeerAddress, attempt, x.resolveIdempotent)
}

// callAtMostOnce sends one attempt of a non-idempotent request without a key. If the reply is lost, it queries the
// process that the attempt was sent to. If the attempt has not started there, the query fences it: that process will
// never start it. Only then is it safe to send the request elsewhere.
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

// resolveAtMostOnce queries the other node about an attempt and reports whether the result of the attempt is decided.
// While the attempt runs or the query fails, it is not.
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

// queryAttempt asks the process that received an attempt without a key for its outcome.
func (x *exchange) queryAttempt(ctx context.Context, address string, attempt *call.Request) (peer.Resolution, error) {
	query := peer.ResolveQuery{
		AttemptID:   attempt.AttemptID,
		Service:     attempt.Service,
		Incarnation: attempt.TargetIncarnation,
	}
	return x.peers.Resolve(ctx, address, query, resolveTimeout)
}

// resolver queries the node at the address about an attempt whose reply is overdue. It reports false if the sender should
// keep waiting.
type resolver func(ctx context.Context, address string, attempt *call.Request) (attemptResult, bool)

// send sends one copy of the attempt and monitors it. If the monitor obtains a result first, it cancels the copy.
func (x *exchange) send(ctx context.Context, address string, attempt *call.Request, resolve resolver) (call.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	sent := *attempt
	kind := requestKind{service: attempt.Service, kind: attempt.Kind}
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

// attemptMonitor queries the other node about an attempt whose reply is overdue. The delay doubles with each query.
type attemptMonitor struct {
	results chan attemptResult
	group   conc.WaitGroup

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// schedule starts a query after the delay. If the query returns an error for the attempt, the reply itself still gets
// replyGracePeriod to arrive.
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

// spawn runs f in the group, unless the monitor has been stopped.
func (m *attemptMonitor) spawn(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopped {
		m.group.Go(f)
	}
}

// stop prevents further queries. A query that is in progress continues.
func (m *attemptMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.timer.Stop()
}

// result returns the result that a query obtained, if any.
func (m *attemptMonitor) result() (attemptResult, bool) {
	select {
	case result := <-m.results:
		return result, true
	default:
		return attemptResult{}, false
	}
}

// reportUnreachable logs that no connection to a node could be made.
func (x *exchange) reportUnreachable(err error) {
	var failure *peer.Error
	if errors.As(err, &failure) && !failure.Sent && failure.Reason == call.ReasonPeerUnreachable {
		x.log.Emit(time.Now(), events.PeerUnreachable, events.Fields{"peer": failure.Address, "error": failure.Cause.Error()})
	}
}

// dropConnections closes the idle connections to a node after an attempt was lost on one of its connections.
func (x *exchange) dropConnections(address string) {
	x.peers.CloseIdle(address)
	x.log.Emit(time.Now(), events.PeerSilent, events.Fields{"peer": address})
}

// attemptResult is the reply to an attempt, or the error that ended it.
type attemptResult struct {
	reply call.Reply
	err   error
}

// resolveKeyed asks the key owner for the outcome of an attempt. It reports false if the outcome is not decided yet.
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

// resultOf converts a resolution to the result of the attempt. It reports false if the attempt is still running.
func resultOf(address string, r peer.Resolution) (attemptResult, bool) {
	notRunning := &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent, Cause: errNotRunning}
	switch {
	case !r.Known:
		return attemptResult{err: &peer.Error{Address: address, Sent: true, Reason: call.ReasonOwnerUnknown, Cause: errOutcomeUnresolvable}}, true
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

// resolveIdempotent asks the other node whether it is working on the attempt of an idempotent request.
func (x *exchange) resolveIdempotent(ctx context.Context, address string, attempt *call.Request) (attemptResult, bool) {
	resolution, err := x.queryAttempt(ctx, address, attempt)
	if ctx.Err() != nil || err == nil && resolution.State == outcome.Running {
		return attemptResult{}, false
	}
	x.dropConnections(address)
	return attemptResult{err: &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent, Cause: errNotRunning}}, true
}

// errNotRunning reports that the other node is not working on an attempt that was sent to it.
var errNotRunning = errors.New("the other node is not working on the attempt that was sent to it")
