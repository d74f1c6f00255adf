package flow

import (
	"context"
	"net/http"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/calllimit"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/drain"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// ReceiverConfig configures a Receiver.
type ReceiverConfig struct {
	Board   *board.Loop
	Gate    *backend.Gate
	Backend *backend.Client
	// Quarantine keeps away requests that crash backend servers.
	Quarantine *Quarantine
	// CallTreeLimits limits the root requests whose calls queue further down the call tree; nil means no limit.
	CallTreeLimits *CallTreeLimits
	// RequeueShed offers a request that the backend server shed to the gate again, as long as the request has attempts
	// left. The gate has adjusted to the shed request by then.
	RequeueShed bool
	// RequeueBudget limits the requeues of all requests together. Nil means that only the attempts of each request
	// limit them.
	RequeueBudget *retry.BudgetConfig
	// Limit returns the limit of a request that is sent to the backend server now, given its deadline. With nil, its own
	// deadline is the only one.
	Limit func(deadline time.Time) drain.Limit
	// Events receives the events for operators, and Requests the decisions on single requests.
	Events   *events.Limiter
	Requests *events.Limiter
}

// Receiver runs requests on the local backend server.
type Receiver struct {
	config        ReceiverConfig
	requeueBudget *requeueBudget
	counters      receiverCounters
}

// NewReceiver returns a Receiver.
func NewReceiver(config ReceiverConfig) *Receiver {
	return &Receiver{config: config, requeueBudget: newRequeueBudget(config.RequeueBudget)}
}

// Receive admits the request, runs it on the backend server, and returns the reply with the load measured afterwards.
func (v *Receiver) Receive(ctx context.Context, r *call.Request) call.Reply {
	reply := v.receive(ctx, r)
	reply.Load = v.config.Gate.Load()
	if b := v.config.Board.Snapshot(); b.Backend.Leaving {
		reply.LeavingStart = b.Backend.StartID()
	}
	if reply.Outcome == call.NotRun {
		v.logRefusal(r, &reply)
	}
	return reply
}

// logRefusal logs why the request was refused and the state of the gate at that time.
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

// Stats returns the counts since the start of the process.
func (v *Receiver) Stats() ReceiverStats {
	return v.counters.stats()
}

// MakesCalls reports whether requests have been observed to make calls while they ran on the backend server.
func (v *Receiver) MakesCalls() bool {
	return v.config.CallTreeLimits.makesCalls()
}

func (v *Receiver) receive(ctx context.Context, r *call.Request) call.Reply {
	limitDeadline(v.config.Limit, r)
	b := v.config.Board.Snapshot()
	if refusal, refused := refusalFor(b, r); refused {
		return refusal
	}
	return v.config.Quarantine.guard(r, func() call.Reply { return v.run(ctx, b, r) })
}

// refusalFor returns the reply to a request that must not be passed to the backend server, if that is the case.
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

// lateRefusalFor returns the reply to a request that was admitted and has waited since, if it must not be passed to the
// backend server any more: another one is here now, it leaves, or the deadline has passed. Admitted requests are passed on
// while the node itself leaves.
func lateRefusalFor(now, admitted *board.Board, r *call.Request) (call.Reply, bool) {
	isSame := now.Backend.Service == admitted.Backend.Service && now.Backend.Address == admitted.Backend.Address &&
		now.Backend.StartID() == admitted.Backend.StartID()
	switch {
	case !isSame:
		return call.Refused(call.NotRun, call.ReasonNoInstance, noInstanceRetryAfter), true
	case now.Backend.Leaving:
		return call.Refused(call.NotRun, call.ReasonDraining, 0), true
	case !time.Now().Before(r.Deadline):
		return call.Refused(call.NotRun, call.ReasonDeadline, 0), true
	}
	return call.Reply{}, false
}

// run admits the request and runs it on the backend server.
func (v *Receiver) run(ctx context.Context, b *board.Board, r *call.Request) call.Reply {
	started, refusal, admitted := v.config.CallTreeLimits.begin(r, b.Backend.Slots)
	if !admitted {
		v.counters.notStarted.Add(1)
		return refusal
	}
	enqueued := time.Now()
	slot, refusal, admitted := v.config.Gate.Acquire(ctx, r, shareOf(b, r))
	if !admitted {
		v.config.CallTreeLimits.cancel(r, started)
		v.counters.notStarted.Add(1)
		refusal.QueueingDelay = time.Since(enqueued)
		return refusal
	}
	queueingDelay := time.Since(enqueued)
	v.requeueBudget.earn()
	result := v.runAdmitted(ctx, b, r, slot)
	for requeues := 1; v.requeue(ctx, r, &result); requeues++ {
		enqueued = time.Now()
		b = v.config.Board.Snapshot()
		if _, refused := refusalFor(b, r); refused {
			break // the previous result is returned
		}
		if slot, _, admitted = v.config.Gate.Acquire(ctx, r, shareOf(b, r)); !admitted {
			break
		}
		queueingDelay += time.Since(enqueued)
		result = v.runAdmitted(ctx, b, r, slot)
		result.Reply.AttemptsUsed += requeues
	}
	v.finish(r, started, queueingDelay, &result)
	return result.Reply
}

// runAdmitted runs a request on the backend server in the slot that the gate granted. The node may have begun to drain since the
// request arrived.
func (v *Receiver) runAdmitted(ctx context.Context, b *board.Board, r *call.Request, slot backend.Slot) backend.Result {
	limitDeadline(v.config.Limit, r)
	result := v.config.Backend.Run(ctx, backend.Target{
		Address:  b.Backend.Address,
		Instance: b.Backend.Instance,
		Refuse:   func() (call.Reply, bool) { return lateRefusalFor(v.config.Board.Snapshot(), b, r) },
	}, r)
	v.config.Gate.Release(gateSample(r, slot, result))
	return result
}

// requeue reports whether a request that the backend server shed is offered to the gate again. If so, it takes
// the requeue from the request's attempts and from the requeue budget, and waits for the requeue delay.
func (v *Receiver) requeue(ctx context.Context, r *call.Request, result *backend.Result) bool {
	if !v.config.RequeueShed {
		return false
	}
	delay, allowed := retry.DecideRequeue(retry.RequeueCandidate{
		Shed:         result.Overloaded,
		SafeToRepeat: r.Idempotent || result.Reply.Outcome == call.NotRun,
		AttemptsLeft: r.AttemptsLeft,
		TimeLeft:     time.Until(r.Deadline),
		HoldTime:     v.config.Gate.HoldTime(),
	})
	if !allowed || !v.requeueBudget.spend(!v.config.Gate.IsMoreUrgentPresent(r.Root.Rank)) {
		return false
	}
	v.config.Requests.Emit(time.Now(), events.RequestRequeued, events.Fields{
		"request":       r.Root.ID,
		"attempt":       r.AttemptID,
		"kind":          r.Kind,
		"rank":          r.Root.Rank,
		"attempts_left": r.AttemptsLeft,
		"wait_ms":       delay.Milliseconds(),
	})
	r.AttemptsLeft--
	return pause.For(ctx, delay)
}

// finish records the end of a request that ran or that the backend server shed.
func (v *Receiver) finish(r *call.Request, started calllimit.Start, queueingDelay time.Duration, result *backend.Result) {
	v.config.CallTreeLimits.end(r, started, queueingDelay, *result)
	result.Reply.QueueingDelay += queueingDelay
	v.counters.count(*result)
	if result.ConnectionBroken {
		v.config.Events.Emit(time.Now(), events.BackendFailed, events.Fields{
			"service": r.Service, "kind": r.Kind, "attempt": r.AttemptID, "error": result.Err.Error(),
		})
	}
}

// gateSample returns the observation of a run that the gate adjusts its limit by.
func gateSample(r *call.Request, slot backend.Slot, result backend.Result) admission.Sample {
	incomplete := result.Reply.Outcome != call.Ran
	return admission.Sample{
		Kind:           r.Kind,
		ServiceTime:    result.ServiceTime,
		HoldTime:       result.HoldTime,
		Overloaded:     result.Overloaded,
		Incomplete:     incomplete && !result.ConnectionBroken,
		SaturatedLimit: slot.SaturatedLimit,
		Failed:         result.ConnectionBroken || !incomplete && result.Reply.Status >= http.StatusInternalServerError,
	}
}

// shareOf returns the share of the request's kind in the document of the service; 1 by default.
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
