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
	// answerGrace is how long an answer may be on its way after the other node has ended the attempt.
	answerGrace = 20 * time.Millisecond
	// resolveTimeout bounds one such question.
	resolveTimeout = 500 * time.Millisecond
	// maxCopies is how often one attempt is sent while its fate is open. The receiver takes it once.
	maxCopies = 4
	// copyPause is the time before the next copy.
	copyPause = 50 * time.Millisecond
	// maxChallenges is how many challenges one attempt answers.
	maxChallenges = 3
)

// exchange carries one attempt to another node and watches over it, so that a silent connection is noticed. For a
// non-idempotent request it finds out what became of the attempt where the answer is lost, and sends further copies
// only to the same process, which takes the attempt once.
type exchange struct {
	peers *peer.Client
	local Runner
	paces *paces
	log   *events.Limiter
	// self is the name of this node.
	self string
}

// call returns the reply, or a *peer.Error that says whether a copy was sent.
func (x *exchange) call(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	attempt.AttemptID = newAttemptID()
	attempt.TargetIncarnation = target.Incarnation
	attempt.Confirm = ""
	for range maxChallenges {
		reply, err := x.settle(ctx, target, attempt)
		if err != nil || reply.Confirm == "" {
			return reply, err
		}
		attempt.Confirm = reply.Confirm
	}
	return call.Refused(call.NotAdmitted, call.ReasonOverload, homeRetry), nil
}

// settle sends copies until one is answered.
func (x *exchange) settle(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	if target.Node == x.self {
		return x.local.Receive(ctx, attempt), nil
	}
	delay := copyPause
	for copies := 1; ; copies++ {
		reply, err := x.send(ctx, target.PeerAddress, attempt, x.resolve)
		if err == nil {
			return reply, nil
		}
		var failure *peer.Error
		if errors.As(err, &failure) && failure.Sent {
			attempt.Resent = true
			attempt.Confirm = ""
		}
		if !attempt.Resent || copies == maxCopies || errors.Is(err, errUnresolved) || !pause.For(ctx, delay) {
			return call.Reply{}, &peer.Error{Address: target.PeerAddress, Sent: attempt.Resent, Reason: reasonOf(err), Cause: err}
		}
		delay *= 2
	}
}

// errUnresolved says that the other node can't tell what became of the attempt and never will.
var errUnresolved = errors.New("the node was restarted since")

func reasonOf(err error) call.Reason {
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
	return x.send(ctx, target.PeerAddress, attempt, x.isWorkedOn)
}

// callOnce sends one attempt of a request that may run once at most and has no key. Where the answer is lost it asks
// the process that got the attempt, which then never begins it; only that makes it safe to send the request elsewhere.
func (x *exchange) callOnce(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	attempt.TargetIncarnation = target.Incarnation
	reply, err := x.send(ctx, target.PeerAddress, attempt, x.isFenced)
	var failure *peer.Error
	if !errors.As(err, &failure) || !failure.Sent {
		return reply, err
	}
	if a, ok := x.isFenced(ctx, target.PeerAddress, attempt); ok && a.err == nil {
		return a.reply, nil
	}
	return reply, err
}

// isFenced asks about an attempt and reports true where that settles it. While nobody can be asked, waiting goes on.
func (x *exchange) isFenced(ctx context.Context, address string, attempt *call.Request) (answer, bool) {
	resolution, err := x.ask(ctx, address, attempt)
	if err != nil || ctx.Err() != nil || resolution.Known && resolution.State == outcome.Running {
		return answer{}, false
	}
	x.leave(address)
	if resolution.Known && resolution.State == outcome.NotRun {
		return answer{reply: call.Refused(call.NotRun, call.ReasonPeerSilent, homeRetry)}, true
	}
	return answer{err: &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent, Cause: errSilent}}, true
}

// ask asks the process that an attempt without a key was sent to what became of it.
func (x *exchange) ask(ctx context.Context, address string, attempt *call.Request) (peer.Resolution, error) {
	question := peer.Question{
		AttemptID:   attempt.AttemptID,
		Service:     attempt.Service,
		Incarnation: attempt.TargetIncarnation,
	}
	return x.peers.Resolve(ctx, address, question, resolveTimeout)
}

// resolver asks the node at the address about an attempt whose answer takes long. It reports false where waiting
// goes on.
type resolver func(ctx context.Context, address string, attempt *call.Request) (answer, bool)

// send sends one copy and watches over it. The watch ends the copy where it settles the attempt first.
func (x *exchange) send(ctx context.Context, address string, attempt *call.Request, resolve resolver) (call.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	sent := *attempt
	kind := workKind{service: attempt.Service, kind: attempt.Kind}
	w := &watch{settled: make(chan answer, 1)}
	defer w.group.Wait()
	start := time.Now()
	w.after(ctx, x.paces.bound(kind), func() (answer, bool) { return resolve(ctx, address, &sent) }, cancel)
	reply, err := x.peers.Call(ctx, address, &sent)
	w.stop()
	cancel()
	x.reportUnreachable(err)
	if err == nil && reply.Outcome == call.Ran {
		x.paces.learn(kind, time.Since(start))
	}
	if settled, ok := w.answer(); ok && err != nil {
		return settled.reply, settled.err
	}
	return reply, err
}

// watch asks about an attempt whose answer takes long, again and again, each time after twice the patience.
type watch struct {
	settled chan answer
	group   conc.WaitGroup

	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// after asks once the patience has passed. Where that settles the attempt, a last moment is given to the answer itself.
func (w *watch) after(ctx context.Context, patience time.Duration, ask func() (answer, bool), cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timer = time.AfterFunc(patience, func() {
		w.spawn(func() {
			a, ok := ask()
			if !ok {
				w.after(ctx, 2*patience, ask, cancel)
				return
			}
			if a.err != nil {
				pause.For(ctx, answerGrace)
			}
			w.settled <- a
			cancel()
		})
	})
}

// spawn runs f in the group, unless the watch has ended.
func (w *watch) spawn(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.group.Go(f)
	}
}

// stop ends the watch; what is being asked goes on.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// answer returns what settled the attempt.
func (w *watch) answer() (answer, bool) {
	select {
	case a := <-w.settled:
		return a, true
	default:
		return answer{}, false
	}
}

// reportUnreachable logs a node that no connection could be made to.
func (x *exchange) reportUnreachable(err error) {
	var failure *peer.Error
	if errors.As(err, &failure) && !failure.Sent && failure.Reason == call.ReasonPeerUnreachable {
		x.log.Emit(time.Now(), events.PeerUnreachable, events.Fields{"peer": failure.Address, "error": failure.Cause.Error()})
	}
}

// leave closes the kept connections to a node on one of which an attempt was lost.
func (x *exchange) leave(address string) {
	x.peers.Drop(address)
	x.log.Emit(time.Now(), events.PeerSilent, events.Fields{"peer": address})
}

// answer is the end of one exchange.
type answer struct {
	reply call.Reply
	err   error
}

// resolve asks what became of the attempt. It reports false where that is still open.
func (x *exchange) resolve(ctx context.Context, address string, attempt *call.Request) (answer, bool) {
	resolution, err := x.peers.Resolve(ctx, address, peer.Question{
		AttemptID:   attempt.AttemptID,
		Key:         attempt.Key,
		Service:     attempt.Service,
		Incarnation: attempt.TargetIncarnation,
		Delegated:   attempt.Delegated,
	}, resolveTimeout)
	if err != nil {
		if ctx.Err() == nil {
			x.leave(address)
		}
		return answer{}, false
	}
	return settled(address, resolution)
}

// settled turns the answer about an attempt into its end, if that is known.
func settled(address string, r peer.Resolution) (answer, bool) {
	lost := &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent, Cause: errSilent}
	switch {
	case !r.Known:
		return answer{err: &peer.Error{Address: address, Sent: true, Reason: call.ReasonHomeUnknown, Cause: errUnresolved}}, true
	case r.State == outcome.Running:
		return answer{}, false
	case r.State == outcome.Done:
		return answer{reply: r.Reply}, true
	case r.State == outcome.NotRun:
		return answer{reply: call.Refused(call.NotRun, call.ReasonOverload, homeRetry)}, true
	case r.State == outcome.Moved:
		return answer{reply: refusals[outcome.RefuseClosed]}, true
	default:
		return answer{err: lost}, true
	}
}

// isWorkedOn asks whether the other node is working on the attempt of an idempotent request.
func (x *exchange) isWorkedOn(ctx context.Context, address string, attempt *call.Request) (answer, bool) {
	resolution, err := x.ask(ctx, address, attempt)
	if ctx.Err() != nil || err == nil && resolution.State == outcome.Running {
		return answer{}, false
	}
	x.leave(address)
	return answer{err: &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent, Cause: errSilent}}, true
}

// errSilent says that the other node is not working on an attempt although it was sent.
var errSilent = errors.New("the other node is not working on the attempt")
