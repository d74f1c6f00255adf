package flow

import (
	"context"
	"net/http"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/trees"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// ReceiverConfig sets a Receiver up.
type ReceiverConfig struct {
	Board   *board.Loop
	Gate    *backend.Gate
	Backend *backend.Client
	// Quarantine keeps away requests that crash backend servers.
	Quarantine *Quarantine
	// CallTreeLimits bounds the requests whose calls have to wait further down; nil for no bound.
	CallTreeLimits *CallTreeLimits
	// RequeueShed lets a request that the backend server shed wait for another turn at the gate, which has learnt from it,
	// as long as the request has attempts left.
	RequeueShed bool
	// RequeueBudget bounds such turns for all requests together; nil where their attempts are bound enough.
	RequeueBudget *retry.BudgetConfig
	// Events takes what operators should know, and Requests what was decided about single requests.
	Events   *events.Limiter
	Requests *events.Limiter
}

// Receiver runs requests on the local backend server.
type Receiver struct {
	config        ReceiverConfig
	requeueBudget *requeueBudget
	counters      receiverCounters
}

// NewReceiver returns a receiver.
func NewReceiver(config ReceiverConfig) *Receiver {
	return &Receiver{config: config, requeueBudget: newRequeueBudget(config.RequeueBudget)}
}

// Receive admits the request, runs it on the backend server and returns the reply with the load after it.
func (v *Receiver) Receive(ctx context.Context, r *call.Request) call.Reply {
	reply := v.receive(ctx, r)
	reply.Load = v.config.Gate.Load()
	if reply.Outcome == call.NotRun {
		v.logRefusal(r, &reply)
	}
	return reply
}

// logRefusal writes what decided that the request doesn't run here.
func (v *Receiver) logRefusal(r *call.Request, reply *call.Reply) {
	limit, limited := v.config.CallTreeLimits.limit(r.Kind)
	v.config.Requests.Emit(time.Now(), events.RequestNotAdmitted, events.Fields{
		"request":   r.Root.ID,
		"attempt":   r.AttemptID,
		"from":      r.SourceNode,
		"kind":      r.Kind,
		"rank":      r.Root.Rank,
		"depth":     r.Depth,
		"reason":    string(reply.Reason),
		"in_flight": reply.Load.InFlight,
		"queued":    reply.Load.Queued,
		"limit":     reply.Load.Limit,
		"bounded":   limited,
		"bound":     limit,
		"left_ms":   time.Until(r.Deadline).Milliseconds(),
	})
}

// Stats returns what the receiver did since the start.
func (v *Receiver) Stats() ReceiverStats {
	return v.counters.stats()
}

// MakesCalls reports whether requests were seen to make calls while they ran on the backend server.
func (v *Receiver) MakesCalls() bool {
	return v.config.CallTreeLimits.makesCalls()
}

func (v *Receiver) receive(ctx context.Context, r *call.Request) call.Reply {
	b := v.config.Board.Snapshot()
	if refusal, refused := refusalFor(b, r); refused {
		return refusal
	}
	return v.config.Quarantine.guard(r, func() call.Reply { return v.run(ctx, b, r) })
}

// refusalFor returns the reply to a request that the backend server can't take, or isn't to take any more.
func refusalFor(b *board.Board, r *call.Request) (call.Reply, bool) {
	if b.Backend.Service != r.Service || b.Backend.Address == "" || b.Backend.IsLost() {
		return call.Refused(call.NotRun, call.ReasonNoInstance, noInstanceRetryAfter), true
	}
	if b.Self.Leaving || b.Backend.Leaving {
		return call.Refused(call.NotRun, call.ReasonDraining, 0), true
	}
	if !time.Now().Before(r.Deadline) {
		return call.Refused(call.NotRun, call.ReasonDeadline, 0), true
	}
	return call.Reply{}, false
}

// run admits the request and runs it on the backend server.
func (v *Receiver) run(ctx context.Context, b *board.Board, r *call.Request) call.Reply {
	start, refusal, admitted := v.config.CallTreeLimits.begin(r, b.Backend.Slots)
	if !admitted {
		v.counters.notStarted.Add(1)
		return refusal
	}
	enqueued := time.Now()
	turn, refusal, admitted := v.config.Gate.Acquire(ctx, r, shareOf(b, r))
	if !admitted {
		v.config.CallTreeLimits.cancel(r, start)
		v.counters.notStarted.Add(1)
		refusal.Waited = time.Since(enqueued)
		return refusal
	}
	queueingDelay := time.Since(enqueued)
	v.requeueBudget.earn()
	result := v.runAdmitted(ctx, b, r, turn)
	for requeues := 1; v.requeue(ctx, r, &result); requeues++ {
		enqueued = time.Now()
		b = v.config.Board.Snapshot()
		if _, refused := refusalFor(b, r); refused {
			break // what the last turn said stands
		}
		if turn, _, admitted = v.config.Gate.Acquire(ctx, r, shareOf(b, r)); !admitted {
			break
		}
		queueingDelay += time.Since(enqueued)
		result = v.runAdmitted(ctx, b, r, turn)
		result.Reply.AttemptsUsed += requeues
	}
	v.finish(r, start, queueingDelay, &result)
	return result.Reply
}

// runAdmitted runs a request on the backend server in the turn that the gate gave it.
func (v *Receiver) runAdmitted(ctx context.Context, b *board.Board, r *call.Request, turn backend.Slot) backend.Result {
	result := v.config.Backend.Run(ctx, backend.Target{Address: b.Backend.Address, Instance: b.Backend.Instance}, r)
	v.config.Gate.Release(gateSample(r, turn, result))
	return result
}

// requeue reports whether a request that the backend server shed gets another turn here, and waits until it is due.
func (v *Receiver) requeue(ctx context.Context, r *call.Request, result *backend.Result) bool {
	if !v.config.RequeueShed {
		return false
	}
	wait, allowed := retry.DecideRequeue(retry.RequeueCandidate{
		Shed:         result.Overloaded,
		SafeToRepeat: r.Idempotent || result.Reply.Outcome == call.NotRun,
		AttemptsLeft: r.AttemptsLeft,
		TimeLeft:     time.Until(r.Deadline),
		HoldTime:     v.config.Gate.HoldTime(),
	})
	if !allowed || !v.requeueBudget.spend(!v.config.Gate.IsMoreUrgentPresent(r.Root.Rank)) {
		return false
	}
	v.config.Requests.Emit(time.Now(), events.RequestWaitsAgain, events.Fields{
		"request":       r.Root.ID,
		"attempt":       r.AttemptID,
		"kind":          r.Kind,
		"rank":          r.Root.Rank,
		"attempts_left": r.AttemptsLeft,
		"wait_ms":       wait.Milliseconds(),
	})
	r.AttemptsLeft--
	return pause.For(ctx, wait)
}

// finish takes in how a request ended that ran, or was shed by the backend server.
func (v *Receiver) finish(r *call.Request, start trees.Start, queueingDelay time.Duration, result *backend.Result) {
	v.config.CallTreeLimits.end(r, start, queueingDelay, *result)
	result.Reply.Waited += queueingDelay
	v.counters.count(*result)
	if result.ConnectionBroken {
		v.config.Events.Emit(time.Now(), events.BackendFailed, events.Fields{"service": r.Service, "kind": r.Kind})
	}
}

// gateSample tells the gate what the run showed about the backend server.
func gateSample(r *call.Request, turn backend.Slot, result backend.Result) admission.Sample {
	incomplete := result.Reply.Outcome != call.Ran
	return admission.Sample{
		Kind:           r.Kind,
		ServiceTime:    result.ServiceTime,
		HoldTime:       result.HoldTime,
		Overloaded:     result.Overloaded,
		Incomplete:     incomplete && !result.ConnectionBroken,
		SaturatedLimit: turn.FullAt,
		Failed:         result.ConnectionBroken || !incomplete && result.Reply.Status >= http.StatusInternalServerError,
	}
}

// shareOf returns the share that the service's document gives the request's kind.
func shareOf(b *board.Board, r *call.Request) int {
	d, ok := b.Documents.ByService[r.Service]
	if !ok {
		return 1
	}
	for _, k := range d.Document.Kinds {
		if k.Name == r.Kind {
			return k.Share
		}
	}
	return 1
}
