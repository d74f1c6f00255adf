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

// Gate is an admission.Gate that is safe for concurrent use. Acquire blocks while its request is queued.
type Gate struct {
	mu      sync.Mutex
	gate    *admission.Gate
	waiters map[*admission.Ticket]chan decision
	// waitStarted is signalled when a request is queued.
	waitStarted chan struct{}
}

// decision is the final admission decision on a queued ticket.
type decision struct {
	admitted bool
	refusal  admission.Refusal
}

// NewGate returns a gate with the configuration.
func NewGate(config admission.GateConfig) *Gate {
	return &Gate{gate: admission.NewGate(config), waiters: map[*admission.Ticket]chan decision{}, waitStarted: make(chan struct{}, 1)}
}

// Slot is a slot of the backend server that a request holds.
type Slot struct {
	// SaturatedLimit is the in-flight limit if this slot was the last one within it, else 0.
	SaturatedLimit int
}

// Acquire waits for a slot and reports whether the request got one. If not, it returns the reply that refuses the
// request. The holder of a slot must call Release.
func (g *Gate) Acquire(ctx context.Context, r *call.Request, share int) (Slot, call.Reply, bool) {
	if ctx.Err() != nil {
		return Slot{}, g.abandonedReply(ctx, r.Root.Rank), false
	}
	t := newTicket(r, share)
	verdict, waiter := g.offer(t)
	switch verdict.Action {
	case admission.Run:
		return Slot{SaturatedLimit: t.SaturatedLimit}, call.Reply{}, true
	case admission.Shed:
		return Slot{}, refusedReply(verdict.Refusal), false
	}
	refusal, admitted := g.wait(ctx, t, waiter)
	if !admitted {
		return Slot{}, refusal, false
	}
	return Slot{SaturatedLimit: t.SaturatedLimit}, call.Reply{}, true
}

// Release frees a slot and records the sample of the request that held it.
func (g *Gate) Release(s admission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.gate.Finish(time.Now(), s))
}

// Advance refuses queued requests that reached their maximum queueing delay or can't end before their deadline. It must
// be called regularly.
func (g *Gate) Advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.gate.Advance(time.Now()))
}

// Run calls Advance every tick while requests are queued, until the context ends.
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

// Announce sets the numbers of slots and connections that the backend server announced.
func (g *Gate) Announce(slots, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Announce(slots, connections)
}

// ObserveRate applies what a response of the backend server says about its rate limit.
func (g *Gate) ObserveRate(s admission.RateStatement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notify(g.gate.ObserveRate(time.Now(), s))
}

// RateLimit returns the rate limit that the backend server states, in requests per second; 0 means none.
func (g *Gate) RateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.RateLimit()
}

// Restarted records that the backend server has started again.
func (g *Gate) Restarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Restarted()
}

// Load returns the load of the gate, as it is reported to other nodes.
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

// HoldTime returns how long recent requests held their slots; 0 if unknown.
func (g *Gate) HoldTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.HoldTime()
}

// IsMoreUrgentPresent reports whether a request that is more urgent than the rank has arrived recently.
func (g *Gate) IsMoreUrgentPresent(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.IsMoreUrgentPresent(time.Now(), rank)
}

// QueuedByRank returns the number of queued requests of each rank.
func (g *Gate) QueuedByRank() [admission.Ranks]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.QueuedByRank()
}

// Totals returns the numbers of requests since the start, by rank and outcome.
func (g *Gate) Totals() admission.Totals {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Totals()
}

// Stats returns the values on which the gate bases its decisions, and their reasons.
func (g *Gate) Stats() admission.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Stats(time.Now())
}

// newTicket returns the ticket of the request. Slots are shared fairly between the callers of root requests. Calls of
// admitted root requests are ordered by the age of their root request alone, so that the oldest root request finishes
// first. Their tickets therefore have no caller.
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
	case d := <-waiter:
		if d.admitted {
			return call.Reply{}, true
		}
		return refusedReply(d.refusal), false
	case <-ctx.Done():
		g.withdraw(t, waiter)
		return g.abandonedReply(ctx, t.Rank), false
	}
}

// withdraw removes a ticket from the queue. If the ticket was admitted in the meantime, it frees the slot.
func (g *Gate) withdraw(t *admission.Ticket, waiter chan decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, queued := g.waiters[t]; queued {
		delete(g.waiters, t)
		g.gate.Withdraw(t)
		return
	}
	if d := <-waiter; d.admitted {
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

func (g *Gate) decide(t *admission.Ticket, d decision) {
	waiter := g.waiters[t]
	delete(g.waiters, t)
	waiter <- d
}

var refusalReasons = map[admission.Cause]call.Reason{
	admission.Overload:        call.ReasonOverload,
	admission.QueueTimeout:    call.ReasonQueueTimeout,
	admission.DeadlineTooNear: call.ReasonDeadline,
}

func refusedReply(r admission.Refusal) call.Reply {
	return call.Refused(call.NotRun, refusalReasons[r.Cause], Jittered(r.RetryAfter))
}

// Jittered returns the duration, extended at random by up to half. Without jitter, requests that were refused at the same
// time would all be retried at the same time, and most would be refused again.
func Jittered(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*float64(d)/2)
}

// abandonedReply returns the reply to a request that was canceled or whose deadline passed while it was queued.
func (g *Gate) abandonedReply(ctx context.Context, rank int) call.Reply {
	if ctx.Err() == context.DeadlineExceeded {
		return call.Refused(call.NotRun, call.ReasonDeadline, Jittered(g.retryAfter(rank)))
	}
	return call.Refused(call.NotRun, call.ReasonCanceled, 0)
}
