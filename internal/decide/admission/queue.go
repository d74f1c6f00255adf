// Package admission decides which requests a backend server runs now, which wait, and which are shed.
//
// A Gate holds an adaptive limit of requests in flight and a short queue. Slots go to the most urgent rank first;
// within a rank they are shared between kinds by their shares, and within a kind older roots go first. When the
// queue is full the least urgent and youngest entry is shed, whoever floods.
//
// # Usage
//
// The package does no I/O, starts nothing and reads no clock. The caller passes the time and carries out what is
// returned:
//
//	verdict := gate.Offer(now, ticket)   // run it, let it wait, or shed it; names any ticket shed in its place
//	next := gate.Finish(now, sample)     // tickets that may run now, and tickets that waited too long
//
// A Gate is not safe for concurrent use; the traffic side guards it with one mutex.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Ranks is the number of ranks; rank 0 is the most urgent.
const Ranks = 10

// Ticket stands for one request at the gate.
type Ticket struct {
	ID   uint64
	Rank int
	Kind string
	// Share weighs the kind against others of its rank.
	Share     int
	RootStart time.Time
	Deadline  time.Time
	// Enqueued is set by the gate.
	Enqueued time.Time
}

// Action is what becomes of an offered ticket.
type Action int

// The actions.
const (
	Run Action = iota
	Wait
	Shed
)

// Verdict answers an offer.
type Verdict struct {
	Action Action
	// Displaced are tickets that waited and are shed to make room.
	Displaced []*Ticket
	// RetryAfter is when a shed request may be sent again.
	RetryAfter time.Duration
}

// Next is what may happen after a slot is freed or time passes.
type Next struct {
	Run     []*Ticket
	Expired []*Ticket
}

// GateConfig sets a Gate up.
type GateConfig struct {
	Limit LimitConfig
	// QueuePerSlot bounds the queue: entries for each slot of the limit.
	QueuePerSlot float64
	// MaxWait is how long a ticket may stand in the queue.
	MaxWait time.Duration
}

// Gate admits requests to one backend server.
type Gate struct {
	config   GateConfig
	limit    *Limit
	inFlight int
	waiting  []*Ticket
	served   map[string]float64
}

// NewGate returns an empty gate.
func NewGate(config GateConfig) *Gate {
	return &Gate{config: config, limit: NewLimit(config.Limit), served: map[string]float64{}}
}

// Offer asks for a slot. A ticket that has to wait is returned by a later Finish or Advance.
func (g *Gate) Offer(now time.Time, t *Ticket) Verdict {
	if g.inFlight < g.limit.Value() && len(g.waiting) == 0 {
		g.start(t)
		return Verdict{Action: Run}
	}
	t.Enqueued = now
	g.waiting = append(g.waiting, t)
	if len(g.waiting) <= g.queueBound() {
		return Verdict{Action: Wait}
	}
	victim := g.removeLeastUrgent()
	if victim == t {
		return Verdict{Action: Shed, RetryAfter: g.RetryAfter()}
	}
	return Verdict{Action: Wait, Displaced: []*Ticket{victim}, RetryAfter: g.RetryAfter()}
}

// Finish frees the slot of a request that ended and learns from its sample.
func (g *Gate) Finish(now time.Time, s Sample) Next {
	s.InFlight = g.inFlight
	g.inFlight--
	g.limit.Observe(now, s)
	return g.Advance(now)
}

// Cancel frees a slot whose request did not run.
func (g *Gate) Cancel(now time.Time) Next {
	g.inFlight--
	return g.Advance(now)
}

// Advance drops tickets that waited too long and starts those for which there are slots.
func (g *Gate) Advance(now time.Time) Next {
	next := Next{Expired: g.expire(now)}
	for g.inFlight < g.limit.Value() && len(g.waiting) > 0 {
		t := g.takeMostUrgent()
		g.start(t)
		next.Run = append(next.Run, t)
	}
	return next
}

// Withdraw takes a waiting ticket out, for a caller that went away. It reports whether the ticket still waited.
func (g *Gate) Withdraw(t *Ticket) bool {
	i := slices.Index(g.waiting, t)
	if i < 0 {
		return false
	}
	g.waiting = slices.Delete(g.waiting, i, i+1)
	return true
}

// Announce sets the number of slots that the backend server claims, an upper hint for the limit.
func (g *Gate) Announce(slots int) {
	g.limit.Announce(slots)
}

// InFlight returns how many requests hold a slot.
func (g *Gate) InFlight() int {
	return g.inFlight
}

// Queued returns how many requests wait.
func (g *Gate) Queued() int {
	return len(g.waiting)
}

// QueuedByRank returns how many requests of each rank wait.
func (g *Gate) QueuedByRank() [Ranks]int {
	var counts [Ranks]int
	for _, t := range g.waiting {
		counts[t.Rank]++
	}
	return counts
}

// LimitValue returns the limit in force.
func (g *Gate) LimitValue() int {
	return g.limit.Value()
}

// RetryAfter estimates when the queue will have drained.
func (g *Gate) RetryAfter() time.Duration {
	drain := g.limit.ServiceTime() * time.Duration(len(g.waiting)+1) / time.Duration(g.limit.Value())
	return max(drain, minRetryAfter)
}

const minRetryAfter = 50 * time.Millisecond

func (g *Gate) start(t *Ticket) {
	g.inFlight++
	g.served[t.Kind] += 1 / float64(max(t.Share, 1))
}

func (g *Gate) queueBound() int {
	return max(int(float64(g.limit.Value())*g.config.QueuePerSlot), 1)
}

func (g *Gate) expire(now time.Time) []*Ticket {
	var expired []*Ticket
	g.waiting = slices.DeleteFunc(g.waiting, func(t *Ticket) bool {
		late := now.Sub(t.Enqueued) >= g.config.MaxWait || now.Add(g.limit.ServiceTime()).After(t.Deadline)
		if late {
			expired = append(expired, t)
		}
		return late
	})
	return expired
}

// removeLeastUrgent takes out the youngest entry of the least urgent rank, of the kind that stands most often.
func (g *Gate) removeLeastUrgent() *Ticket {
	rank := g.waiting[0].Rank
	for _, t := range g.waiting {
		rank = max(rank, t.Rank)
	}
	weights := map[string]float64{}
	for _, t := range g.waiting {
		if t.Rank == rank {
			weights[t.Kind] += 1 / float64(max(t.Share, 1))
		}
	}
	victim := -1
	for i, t := range g.waiting {
		if t.Rank != rank {
			continue
		}
		if victim < 0 || g.shedsBefore(weights, t, g.waiting[victim]) {
			victim = i
		}
	}
	t := g.waiting[victim]
	g.waiting = slices.Delete(g.waiting, victim, victim+1)
	return t
}

func (g *Gate) shedsBefore(weights map[string]float64, a, b *Ticket) bool {
	if c := cmp.Compare(weights[a.Kind], weights[b.Kind]); c != 0 {
		return c > 0
	}
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.RootStart.After(b.RootStart)
}

// takeMostUrgent takes out the entry that runs next.
func (g *Gate) takeMostUrgent() *Ticket {
	best := 0
	for i := range g.waiting {
		if g.runsBefore(g.waiting[i], g.waiting[best]) {
			best = i
		}
	}
	t := g.waiting[best]
	g.waiting = slices.Delete(g.waiting, best, best+1)
	return t
}

func (g *Gate) runsBefore(a, b *Ticket) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if a.Kind != b.Kind {
		return g.served[a.Kind] < g.served[b.Kind]
	}
	return a.RootStart.Before(b.RootStart)
}
