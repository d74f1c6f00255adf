package backend

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// Gate makes admission decisions for the goroutines of many requests.
type Gate struct {
	mu      sync.Mutex
	gate    *admission.Gate
	waiters map[*admission.Ticket]chan decision
	// waitStarted is signalled when a request begins to wait.
	waitStarted chan struct{}
}

// decision is the final word on a ticket that waited.
type decision struct {
	admitted bool
	refusal  admission.Refusal
}

// NewGate returns a gate.
func NewGate(config admission.GateConfig) *Gate {
	return &Gate{gate: admission.NewGate(config), waiters: map[*admission.Ticket]chan decision{}, waitStarted: make(chan struct{}, 1)}
}

// Slot is a slot that a request was given.
type Slot struct {
	// FullAt is the limit, where it was the last slot of it, else 0.
	FullAt int
}

// Acquire waits for a slot. Without one it returns the reply that refuses the request. Whoever got a slot calls Leave.
func (g *Gate) Acquire(ctx context.Context, r *call.Request, share int) (Slot, call.Reply, bool) {
	if ctx.Err() != nil {
		return Slot{}, g.abandonedReply(ctx, r.Root.Rank), false
	}
	t := newTicket(r, share)
	verdict, waiter := g.offer(t)
	switch verdict.Action {
	case admission.Run:
		return Slot{FullAt: t.SaturatedLimit}, call.Reply{}, true
	case admission.Shed:
		return Slot{}, refusedReply(verdict.Refusal), false
	}
	refusal, admitted := g.wait(ctx, t, waiter)
	if !admitted {
		return Slot{}, refusal, false
	}
	return Slot{FullAt: t.SaturatedLimit}, call.Reply{}, true
}

// Release frees a slot and reports how the request went.
func (g *Gate) Release(s admission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.gate.Finish(time.Now(), s))
}

// Advance drops requests that waited too long. It is called regularly.
func (g *Gate) Advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.gate.Advance(time.Now()))
}

// Run drops requests that waited too long, with a look each tick while any wait, until the context ends.
func (g *Gate) Run(ctx context.Context, tick time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.waitStarted:
		}
		for g.Load().Queued > 0 && pause.For(ctx, tick) {
			g.Advance()
		}
	}
}

// Announce sets the slots and connections that the backend server claims.
func (g *Gate) Announce(slots, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Announce(slots, connections)
}

// Load returns the load to report to others.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{
		InFlight:     g.gate.InFlight(),
		Queued:       g.gate.Queued(),
		Limit:        g.gate.LimitValue(),
		SheddingRank: g.gate.SheddingRank(time.Now()),
	}
}

// HoldTime returns how long requests lately held their slots; 0 where that isn't known.
func (g *Gate) HoldTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.HoldTime()
}

// IsMoreUrgentPresent reports whether a request that is more urgent than the rank came lately.
func (g *Gate) IsMoreUrgentPresent(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.IsMoreUrgentPresent(time.Now(), rank)
}

// QueuedByRank returns how many requests of each rank wait.
func (g *Gate) QueuedByRank() [admission.Ranks]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.QueuedByRank()
}

// Totals returns what became of the requests of each rank since the start.
func (g *Gate) Totals() admission.Totals {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Totals()
}

// Stats returns what the gate decides by, and why.
func (g *Gate) Stats() admission.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Stats(time.Now())
}

// newTicket stands for the request at the gate. Turns are shared between the callers of root requests; calls of what was
// admitted go by the age of their roots alone, so that what has begun first ends first.
func newTicket(r *call.Request, share int) *admission.Ticket {
	caller := r.Root.Caller
	if r.Depth > 0 {
		caller = ""
	}
	return &admission.Ticket{
		Rank:      r.Root.Rank,
		Kind:      r.Kind,
		Share:     share,
		Caller:    caller,
		RootStart: r.Root.Start,
		Deadline:  r.Deadline,
	}
}

func (g *Gate) offer(t *admission.Ticket) (admission.Verdict, chan decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.gate.Offer(time.Now(), t)
	for _, d := range verdict.Displaced {
		g.decide(d.Ticket, decision{refusal: d})
	}
	if verdict.Action != admission.Enqueue {
		return verdict, nil
	}
	waiter := make(chan decision, 1)
	g.waiters[t] = waiter
	select {
	case g.waitStarted <- struct{}{}:
	default:
	}
	return verdict, waiter
}

func (g *Gate) wait(ctx context.Context, t *admission.Ticket, waiter chan decision) (call.Reply, bool) {
	select {
	case a := <-waiter:
		if a.admitted {
			return call.Reply{}, true
		}
		return refusedReply(a.refusal), false
	case <-ctx.Done():
		g.withdraw(t, waiter)
		return g.abandonedReply(ctx, t.Rank), false
	}
}

// withdraw takes back a ticket, or frees the slot that it was given in the same moment.
func (g *Gate) withdraw(t *admission.Ticket, waiter chan decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waits := g.waiters[t]; waits {
		delete(g.waiters, t)
		g.gate.Withdraw(t)
		return
	}
	if a := <-waiter; a.admitted {
		g.notify(g.gate.Cancel(time.Now()))
	}
}

func (g *Gate) retryAfter(rank int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.RetryAfter(rank)
}

func (g *Gate) notify(next admission.Dequeued) {
	for _, t := range next.Run {
		g.decide(t, decision{admitted: true})
	}
	for _, e := range next.Expired {
		g.decide(e.Ticket, decision{refusal: e})
	}
}

func (g *Gate) decide(t *admission.Ticket, a decision) {
	waiter := g.waiters[t]
	delete(g.waiters, t)
	waiter <- a
}

var refusalReasons = map[admission.Cause]call.Reason{
	admission.Overload:        call.ReasonOverload,
	admission.QueueTimeout:    call.ReasonQueueTimeout,
	admission.DeadlineTooNear: call.ReasonDeadline,
}

func refusedReply(r admission.Refusal) call.Reply {
	return call.Refused(call.NotRun, refusalReasons[r.Cause], Jittered(r.RetryAfter))
}

// Jittered puts a time off by up to half. Requests refused in one moment would else come back in one moment too, and
// most of them be refused again.
func Jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*float64(d)/2)
}

// abandonedReply is the reply to a request whose caller went away or whose deadline passed while it waited.
func (g *Gate) abandonedReply(ctx context.Context, rank int) call.Reply {
	if ctx.Err() == context.DeadlineExceeded {
		return call.Refused(call.NotRun, call.ReasonDeadline, Jittered(g.retryAfter(rank)))
	}
	return call.Refused(call.NotRun, call.ReasonCanceled, 0)
}
