package admission

import (
	"math"
	"time"
)

// GateConfig configures a Gate.
type GateConfig struct {
	Limit LimitConfig
	// QueuePerSlot is the maximum queue length, in tickets for each slot of the in-flight limit.
	QueuePerSlot float64
	// MaxDelayLeastUrgent is the maximum expected queueing delay of an offered ticket of the least urgent rank.
	MaxDelayLeastUrgent time.Duration
	// MaxDelayMostUrgent is the same for rank 0; the limits of the ranks between are interpolated.
	MaxDelayMostUrgent time.Duration
	// ReserveInterval is the mean time between two freed slots from which on the last free slot is reserved for more
	// urgent work.
	ReserveInterval time.Duration
	// MaxRetryAfter is the upper limit of the Retry-After of refusals.
	MaxRetryAfter time.Duration
	// RateBeforeFirstResponse is the rate limit, in requests per second, from the start of a backend server until its
	// first response, which may state a lower limit; 0 means none.
	RateBeforeFirstResponse float64
}

// Gate admits requests to one backend server.
type Gate struct {
	config   GateConfig
	limit    *Limit
	rate     rateLimit
	demand   demand
	inFlight int
	ranks    [Ranks]*fairQueue
	expiry   indexedHeap[*Ticket]
	sequence uint64
	totals   Totals
	sheds    [Ranks]RankSheds
	// pausedUntil is the time before which no ticket is started, because the backend server shed a request.
	pausedUntil time.Time
}

// Totals counts the tickets of each rank since the gate was created.
type Totals struct {
	Offered [Ranks]uint64 `json:"offered"`
	Started [Ranks]uint64 `json:"started"`
	// Shed counts tickets refused for overload, on offer or from the queue.
	Shed [Ranks]uint64 `json:"shed"`
	// Late counts tickets refused because of their deadline.
	Late [Ranks]uint64 `json:"late"`
	// Withdrawn counts queued tickets whose caller gave up.
	Withdrawn [Ranks]uint64 `json:"withdrawn"`
}

// NewGate returns an empty gate.
func NewGate(config GateConfig) *Gate {
	g := &Gate{
		config: config,
		limit:  NewLimit(config.Limit),
		rate:   newRateLimit(config.RateBeforeFirstResponse),
		expiry: indexedHeap[*Ticket]{
			less:  func(a, b *Ticket) bool { return a.expires.Before(b.expires) },
			index: func(t *Ticket) *int { return &t.expiryIndex },
		},
	}
	for r := range g.ranks {
		g.ranks[r] = newRankQueue()
	}
	return g
}

// Offer asks for a slot. A later Finish, Cancel, Advance or Offer returns a ticket that is enqueued.
func (g *Gate) Offer(now time.Time, t *Ticket) Verdict {
	g.demand.offered(now, t.Rank)
	g.totals.Offered[t.Rank]++
	if g.missesDeadline(now, t) {
		return Verdict{Action: Shed, Refusal: g.refuse(now, t, DeadlineTooNear, ShedDeadline)}
	}
	if g.mayStart(now, t.Rank) && g.queuedUpTo(t.Rank) == 0 {
		g.start(now, t)
		return Verdict{Action: Run}
	}
	if g.rate.allows(now) {
		g.limit.NoteBlocked()
	}
	g.enqueue(now, t)
	return g.shedExcess(now, t)
}

// Finish frees the slot of a request that ended and records its sample.
func (g *Gate) Finish(now time.Time, s Sample) Dequeued {
	s.inFlight = g.inFlight
	g.inFlight--
	g.limit.Observe(now, s)
	g.pause(now, s)
	return g.Advance(now)
}

// pause stops starts after the backend server shed a request, until the backend server should have freed a slot. The
// shed request held a slot of the gate, but none of the backend server; without the pause the backend server would shed
// the whole queue at once.
func (g *Gate) pause(now time.Time, s Sample) {
	if !s.Overloaded || g.limit.isFixed() {
		g.pausedUntil = time.Time{}
		return
	}
	interval := g.limit.HoldTime() / time.Duration(g.limit.Value())
	g.pausedUntil = now.Add(min(max(interval, minPause), maxPause))
}

const (
	minPause = time.Millisecond
	maxPause = 50 * time.Millisecond
)

// Cancel frees the slot of a request that was not sent.
func (g *Gate) Cancel(now time.Time) Dequeued {
	g.inFlight--
	g.rate.giveBack()
	return g.Advance(now)
}

// Advance removes expired tickets from the queue and starts queued tickets for which there are slots.
func (g *Gate) Advance(now time.Time) Dequeued {
	next := Dequeued{Expired: g.expire(now)}
	for r := range g.ranks {
		for g.ranks[r].length() > 0 && g.mayStart(now, r) {
			t := g.ranks[r].next()
			g.expiry.remove(t)
			g.start(now, t)
			next.Run = append(next.Run, t)
		}
		if g.ranks[r].length() > 0 {
			break
		}
	}
	return next
}

// Withdraw removes a queued ticket whose caller gave up. The ticket must still be queued.
func (g *Gate) Withdraw(t *Ticket) {
	g.totals.Withdrawn[t.Rank]++
	g.expiry.remove(t)
	g.ranks[t.Rank].remove(t)
}

// Announce sets the slots and connections that the backend server announces.
func (g *Gate) Announce(slots, connections int) {
	g.limit.Announce(slots, connections)
}

// ObserveRate applies what a response of the backend server says about its rate limit.
func (g *Gate) ObserveRate(now time.Time, s RateStatement) Dequeued {
	g.rate.observe(now, s)
	return g.Advance(now)
}

// Restarted records that the backend server has started again. Nothing is known about its rate limit.
func (g *Gate) Restarted() {
	g.rate = newRateLimit(g.config.RateBeforeFirstResponse)
}

// RateLimit returns the rate limit that the backend server states, in requests per second; 0 means none.
func (g *Gate) RateLimit() float64 {
	return g.rate.stated()
}

// InFlight returns the number of requests that hold a slot.
func (g *Gate) InFlight() int {
	return g.inFlight
}

// Queued returns the number of queued requests.
func (g *Gate) Queued() int {
	return g.expiry.Len()
}

// QueuedByRank returns the number of queued requests of each rank.
func (g *Gate) QueuedByRank() [Ranks]int {
	var counts [Ranks]int
	for r, q := range g.ranks {
		counts[r] = q.length()
	}
	return counts
}

// LimitValue returns the in-flight limit in force. If the backend server states a rate limit, it is at most the number of
// requests that are in flight at that rate.
func (g *Gate) LimitValue() int {
	limit := g.limit.Value()
	rate, holdTime := g.rate.stated(), g.limit.HoldTime()
	if rate == 0 || holdTime == 0 {
		return limit
	}
	return min(limit, max(int(math.Ceil(rate*holdTime.Seconds())), 1))
}

// HoldTime returns the recent mean time for which requests held their slots; 0 if unknown.
func (g *Gate) HoldTime() time.Duration {
	return g.limit.HoldTime()
}

// SheddingRank returns the most urgent rank that is shed entirely, together with every less urgent rank; 0 means none.
func (g *Gate) SheddingRank(now time.Time) int {
	return g.demand.sheddingRank(now)
}

// IsMoreUrgentPresent reports whether a ticket of a more urgent rank was offered recently.
func (g *Gate) IsMoreUrgentPresent(now time.Time, rank int) bool {
	return g.demand.moreUrgentPresent(now, rank)
}

// Totals returns the counts since the gate was created.
func (g *Gate) Totals() Totals {
	return g.totals
}

// minRetryAfter is the least Retry-After of a refusal.
const minRetryAfter = 50 * time.Millisecond

// RetryAfter returns the time after which a refused request of the rank may be sent again: the time in which the queue
// ahead of it drains, times the ratio of offered to started requests of the rank, between minRetryAfter and
// GateConfig.MaxRetryAfter.
func (g *Gate) RetryAfter(rank int) time.Duration {
	interval := max(g.limit.HoldTime()/time.Duration(g.limit.Value()), g.rate.interval())
	drain := interval * time.Duration(g.queuedUpTo(rank)+1)
	delay := time.Duration(float64(drain) * g.demand.offeredRatio(rank))
	return min(max(delay, minRetryAfter), g.config.MaxRetryAfter)
}

func (g *Gate) start(now time.Time, t *Ticket) {
	g.inFlight++
	g.rate.take(now)
	t.SaturatedLimit = g.limit.Begin(now, g.inFlight)
	g.demand.started(now, t.Rank)
	g.totals.Started[t.Rank]++
}

func (g *Gate) refuse(now time.Time, t *Ticket, cause Cause, reason ShedReason) Refusal {
	if cause == DeadlineTooNear {
		g.totals.Late[t.Rank]++
	} else {
		g.totals.Shed[t.Rank]++
		g.demand.shed(now, t.Rank)
	}
	g.sheds[t.Rank].record(now, t, reason)
	return Refusal{Ticket: t, Cause: cause, RetryAfter: g.RetryAfter(t.Rank)}
}

func (g *Gate) missesDeadline(now time.Time, t *Ticket) bool {
	return !now.Add(g.limit.MinHoldTime(now, t.Kind)).Before(t.Deadline)
}

// mayStart reports whether a slot is available to the rank.
func (g *Gate) mayStart(now time.Time, rank int) bool {
	free := g.limit.Value() - g.inFlight
	if free <= 0 || now.Before(g.pausedUntil) || !g.rate.allows(now) {
		return false
	}
	return free > 1 || !g.reservesLastSlot(now, rank)
}

// reservesLastSlot reports whether the last free slot is reserved for work that is more urgent than the rank. It is if
// such work was offered recently and slots are freed so seldom that the work would be queued for long.
func (g *Gate) reservesLastSlot(now time.Time, rank int) bool {
	limit := g.limit.Value()
	if limit < 2 || g.limit.HoldTime()/time.Duration(limit) < g.config.ReserveInterval {
		return false
	}
	return g.demand.moreUrgentPresent(now, rank)
}

func (g *Gate) enqueue(now time.Time, t *Ticket) {
	g.sequence++
	t.sequence = g.sequence
	t.expires = now.Add(g.maxQueueingDelay(t.Rank) * expiryPercent / 100)
	latest := t.Deadline.Add(-g.limit.MinHoldTime(now, t.Kind))
	t.deadlineFirst = latest.Before(t.expires)
	if t.deadlineFirst {
		t.expires = latest
	}
	g.expiry.add(t)
	g.ranks[t.Rank].push(t)
}

// shedExcess sheds tickets whose expected queueing delay became too long because t was enqueued.
func (g *Gate) shedExcess(now time.Time, t *Ticket) Verdict {
	verdict := Verdict{Action: Enqueue}
	ahead := g.queuedUpTo(t.Rank)
	for r := t.Rank; r < Ranks; r++ {
		if r > t.Rank {
			ahead += g.ranks[r].length()
		}
		for allowed := g.maxQueued(r); ahead > allowed && g.ranks[r].length() > 0; ahead-- {
			victim := g.ranks[r].shed()
			g.expiry.remove(victim)
			refusal := g.refuse(now, victim, Overload, overloadReason(victim, t))
			if victim == t {
				verdict.Action, verdict.Refusal = Shed, refusal
				continue
			}
			verdict.Displaced = append(verdict.Displaced, refusal)
		}
	}
	return verdict
}

// maxQueued returns how many tickets of the rank and of more urgent ranks may be queued: as many as the slots take up
// within the maximum queueing delay of the rank, and at most QueuePerSlot for each slot, but at least one.
func (g *Gate) maxQueued(rank int) int {
	limit := float64(g.limit.Value())
	if rate := g.rate.stated(); rate > 0 {
		return max(int(math.Min(rate*g.maxQueueingDelay(rank).Seconds(), limit*g.config.QueuePerSlot)), 1)
	}
	perSlot := g.config.QueuePerSlot
	if holdTime := g.limit.HoldTime(); holdTime > 0 {
		perSlot = min(perSlot, float64(g.maxQueueingDelay(rank))/float64(holdTime))
	}
	return max(int(limit*perSlot), 1)
}

// expiryPercent is the queue timeout of a ticket as a percentage of its rank's maximum queueing delay. It is over 100
// because slots are freed in bursts, so that even the next ticket of the queue may wait longer than was expected.
const expiryPercent = 150

// maxQueueingDelay returns the maximum expected queueing delay of an offered ticket of the rank.
func (g *Gate) maxQueueingDelay(rank int) time.Duration {
	step := (g.config.MaxDelayMostUrgent - g.config.MaxDelayLeastUrgent) / (Ranks - 1)
	return g.config.MaxDelayMostUrgent - step*time.Duration(rank)
}

func (g *Gate) queuedUpTo(rank int) int {
	queued := 0
	for r := range rank + 1 {
		queued += g.ranks[r].length()
	}
	return queued
}

func (g *Gate) expire(now time.Time) []Refusal {
	var expired []Refusal
	for g.expiry.Len() > 0 && !now.Before(g.expiry.top().expires) {
		t := g.expiry.top()
		g.expiry.remove(t)
		g.ranks[t.Rank].remove(t)
		expired = append(expired, g.refuse(now, t, g.expiryCause(t), expiryReason(t)))
	}
	return expired
}

func (g *Gate) expiryCause(t *Ticket) Cause {
	if t.deadlineFirst {
		return DeadlineTooNear
	}
	return QueueTimeout
}
