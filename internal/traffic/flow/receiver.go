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
	// Trees bounds the requests whose calls have to wait further down; nil for no bound.
	Trees *Trees
	// TurnsAgain lets a request that the backend server shed wait for another turn at the gate, which has learnt from it,
	// as long as the request has attempts left.
	TurnsAgain bool
	// TurnBudget bounds such turns for all requests together; nil where their attempts are bound enough.
	TurnBudget *retry.BudgetConfig
	// Events takes what operators should know, and Requests what was decided about single requests.
	Events   *events.Limiter
	Requests *events.Limiter
}

// Receiver runs requests on the local backend server.
type Receiver struct {
	config   ReceiverConfig
	turns    *turnBudget
	counters receiverCounters
}

// NewReceiver returns a receiver.
func NewReceiver(config ReceiverConfig) *Receiver {
	return &Receiver{config: config, turns: newTurnBudget(config.TurnBudget)}
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
	bound, bounded := v.config.Trees.bound(r.Kind)
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
		"bounded":   bounded,
		"bound":     bound,
		"left_ms":   time.Until(r.Deadline).Milliseconds(),
	})
}

// Stats returns what the receiver did since the start.
func (v *Receiver) Stats() ReceiverStats {
	return v.counters.stats()
}

// MakesCalls reports whether requests were seen to make calls while they ran on the backend server.
func (v *Receiver) MakesCalls() bool {
	return v.config.Trees.makesCalls()
}

func (v *Receiver) receive(ctx context.Context, r *call.Request) call.Reply {
	b := v.config.Board.Snapshot()
	if refusal, refused := refuses(b, r); refused {
		return refusal
	}
	return v.config.Quarantine.guard(r, func() call.Reply { return v.run(ctx, b, r) })
}

// refuses returns the reply to a request that the backend server can't take, or isn't to take any more.
func refuses(b *board.Board, r *call.Request) (call.Reply, bool) {
	if b.Backend.Service != r.Service || b.Backend.Address == "" || b.Backend.IsLost() {
		return call.Refused(call.NotRun, call.ReasonNoInstance, noInstanceRetry), true
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
	start, refusal, admitted := v.config.Trees.begin(r, b.Backend.Slots)
	if !admitted {
		v.counters.notStarted.Add(1)
		return refusal
	}
	offered := time.Now()
	turn, refusal, admitted := v.config.Gate.Enter(ctx, r, share(b, r))
	if !admitted {
		v.config.Trees.cancel(r, start)
		v.counters.notStarted.Add(1)
		refusal.Waited = time.Since(offered)
		return refusal
	}
	waited := time.Since(offered)
	v.turns.came()
	result := v.take(ctx, b, r, turn)
	for used := 1; v.takesTurnAgain(ctx, r, &result); used++ {
		offered = time.Now()
		b = v.config.Board.Snapshot()
		if _, refused := refuses(b, r); refused {
			break // what the last turn said stands
		}
		if turn, _, admitted = v.config.Gate.Enter(ctx, r, share(b, r)); !admitted {
			break
		}
		waited += time.Since(offered)
		result = v.take(ctx, b, r, turn)
		result.Reply.AttemptsUsed += used
	}
	v.end(r, start, waited, &result)
	return result.Reply
}

// take runs a request on the backend server in the turn that the gate gave it.
func (v *Receiver) take(ctx context.Context, b *board.Board, r *call.Request, turn backend.Turn) backend.Result {
	result := v.config.Backend.Run(ctx, backend.Target{Address: b.Backend.Address, Instance: b.Backend.Instance}, r)
	v.config.Gate.Leave(sample(r, turn, result))
	return result
}

// takesTurnAgain reports whether a request that the backend server shed gets another turn here, and waits until it is due.
func (v *Receiver) takesTurnAgain(ctx context.Context, r *call.Request, result *backend.Result) bool {
	if !v.config.TurnsAgain {
		return false
	}
	wait, again := retry.TurnAgain(retry.Turn{
		Shed:         result.Overloaded,
		Safe:         r.Idempotent || result.Reply.Outcome == call.NotRun,
		AttemptsLeft: r.AttemptsLeft,
		TimeLeft:     time.Until(r.Deadline),
		HoldTime:     v.config.Gate.HoldTime(),
	})
	if !again || !v.turns.take(!v.config.Gate.IsMoreUrgentPresent(r.Root.Rank)) {
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

// end takes in how a request ended that ran, or was shed by the backend server.
func (v *Receiver) end(r *call.Request, start trees.Start, waited time.Duration, result *backend.Result) {
	v.config.Trees.end(r, start, waited, *result)
	result.Reply.Waited += waited
	v.counters.ended(*result)
	if result.Broken {
		v.config.Events.Emit(time.Now(), events.BackendFailed, events.Fields{"service": r.Service, "kind": r.Kind})
	}
}

// sample tells the gate what the run showed about the backend server.
func sample(r *call.Request, turn backend.Turn, result backend.Result) admission.Sample {
	cut := result.Reply.Outcome != call.Ran
	return admission.Sample{
		Kind:       r.Kind,
		Took:       result.Took,
		Held:       result.Held,
		Overloaded: result.Overloaded,
		Cut:        cut && !result.Broken,
		FullAt:     turn.FullAt,
		Failed:     result.Broken || !cut && result.Reply.Status >= http.StatusInternalServerError,
	}
}

// share returns the share that the service's document gives the request's kind.
func share(b *board.Board, r *call.Request) int {
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
