package backend

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// Gate makes admission decisions for the goroutines of many requests.
type Gate struct {
	mu      sync.Mutex
	gate    *admission.Gate
	waiters map[*admission.Ticket]chan bool
	next    atomic.Uint64
}

// NewGate returns a gate.
func NewGate(config admission.GateConfig) *Gate {
	return &Gate{gate: admission.NewGate(config), waiters: map[*admission.Ticket]chan bool{}}
}

// Enter waits for a slot. Without one it returns the reply that refuses the request. Whoever got a slot calls Leave.
func (g *Gate) Enter(ctx context.Context, r *call.Request, share int) (call.Reply, bool) {
	t := g.ticket(r, share)
	verdict, waiter := g.offer(t)
	switch verdict.Action {
	case admission.Run:
		return call.Reply{}, true
	case admission.Shed:
		return call.Refused(call.NotRun, call.ReasonOverload, verdict.RetryAfter), false
	}
	return g.wait(ctx, t, waiter)
}

// Leave frees a slot and reports how the request went.
func (g *Gate) Leave(s admission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signal(g.gate.Finish(time.Now(), s))
}

// Advance drops requests that waited too long. It is called regularly.
func (g *Gate) Advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signal(g.gate.Advance(time.Now()))
}

// Announce sets the slots that the backend server claims.
func (g *Gate) Announce(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Announce(slots)
}

// Load returns the load to report to others.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{InFlight: g.gate.InFlight(), Queued: g.gate.Queued(), Limit: g.gate.LimitValue()}
}

// QueuedByRank returns how many requests of each rank wait.
func (g *Gate) QueuedByRank() [admission.Ranks]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.QueuedByRank()
}

func (g *Gate) ticket(r *call.Request, share int) *admission.Ticket {
	return &admission.Ticket{
		ID:        g.next.Add(1),
		Rank:      r.Root.Rank,
		Kind:      r.Kind,
		Share:     share,
		RootStart: r.Root.Start,
		Deadline:  r.Deadline,
	}
}

func (g *Gate) offer(t *admission.Ticket) (admission.Verdict, chan bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.gate.Offer(time.Now(), t)
	for _, d := range verdict.Displaced {
		g.answer(d, false)
	}
	if verdict.Action != admission.Wait {
		return verdict, nil
	}
	waiter := make(chan bool, 1)
	g.waiters[t] = waiter
	return verdict, waiter
}

func (g *Gate) wait(ctx context.Context, t *admission.Ticket, waiter chan bool) (call.Reply, bool) {
	select {
	case admitted := <-waiter:
		if admitted {
			return call.Reply{}, true
		}
		return call.Refused(call.NotRun, call.ReasonOverload, g.retryAfter()), false
	case <-ctx.Done():
		g.withdraw(t, waiter)
		return call.Refused(call.NotRun, call.ReasonCanceled, 0), false
	}
}

// withdraw takes back a ticket, or frees the slot that it was given in the same moment.
func (g *Gate) withdraw(t *admission.Ticket, waiter chan bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate.Withdraw(t) {
		delete(g.waiters, t)
		return
	}
	if <-waiter {
		g.signal(g.gate.Cancel(time.Now()))
	}
}

func (g *Gate) retryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.RetryAfter()
}

func (g *Gate) signal(next admission.Next) {
	for _, t := range next.Run {
		g.answer(t, true)
	}
	for _, t := range next.Expired {
		g.answer(t, false)
	}
}

func (g *Gate) answer(t *admission.Ticket, admitted bool) {
	waiter := g.waiters[t]
	delete(g.waiters, t)
	waiter <- admitted
}
