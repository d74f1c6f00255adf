package flow

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// Runner runs requests on this node.
type Runner interface {
	Receive(ctx context.Context, r *call.Request) call.Reply
}

const (
	// progressBound is how long an answer may take before the other node is asked on a new connection. Each further
	// question waits twice as long.
	progressBound = 250 * time.Millisecond
	// resolveTimeout bounds one such question.
	resolveTimeout = 500 * time.Millisecond
	// maxCopies is how often one attempt is sent while its fate is open. The receiver takes it once.
	maxCopies = 4
	// copyPause is the time before the next copy.
	copyPause = 50 * time.Millisecond
	// maxChallenges is how many challenges one attempt answers.
	maxChallenges = 3
)

// exchange carries one attempt of a non-idempotent request to the node that decides about its key, and finds out
// what became of it where the answer is lost. It sends further copies only to the same process, which takes the
// attempt once.
type exchange struct {
	peers *peer.Client
	local Runner
	// self is the name of this node.
	self string
}

// call returns the reply, or a *peer.Error that says whether a copy was sent.
func (x *exchange) call(ctx context.Context, target membership.Member, attempt *call.Request) (call.Reply, error) {
	attempt.AttemptID = uuid.NewString()
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
	pause := copyPause
	for copies := 1; ; copies++ {
		reply, err := x.send(ctx, target.PeerAddress, attempt)
		if err == nil {
			return reply, nil
		}
		var failure *peer.Error
		if errors.As(err, &failure) && failure.Sent {
			attempt.Resent = true
			attempt.Confirm = ""
		}
		if !attempt.Resent || copies == maxCopies || errors.Is(err, errUnresolved) || !wait(ctx, pause) {
			return call.Reply{}, &peer.Error{Address: target.PeerAddress, Sent: attempt.Resent, Reason: reasonOf(err), Cause: err}
		}
		pause *= 2
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

// send sends one copy and watches over it.
func (x *exchange) send(ctx context.Context, address string, attempt *call.Request) (call.Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	answers := make(chan answer, 1)
	sent := *attempt
	group.Go(func() {
		reply, err := x.peers.Call(ctx, address, &sent)
		answers <- answer{reply, err}
	})
	patience := progressBound
	for {
		timer := time.NewTimer(patience)
		select {
		case a := <-answers:
			timer.Stop()
			return a.reply, a.err
		case <-timer.C:
		}
		if a, ok := x.resolve(ctx, address, &sent); ok {
			return a.reply, a.err
		}
		patience *= 2
	}
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
		x.peers.Drop(address)
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

// errSilent says that an attempt did not arrive although it was sent.
var errSilent = errors.New("the attempt did not arrive")

// wait pauses and reports false where the context ends before.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
