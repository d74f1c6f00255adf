package admission

import (
	"cmp"
	"slices"
)

// queue holds tickets that have no slot yet.
type queue interface {
	// push adds a ticket.
	push(t *Ticket)
	// next removes and returns the ticket to run next. The queue must not be empty.
	next() *Ticket
	// shed removes and returns the ticket to shed first. The queue must not be empty.
	shed() *Ticket
	// remove removes a ticket that is in the queue.
	remove(t *Ticket)
	length() int
}

// flow holds the tickets of a fairQueue that have the same key.
type flow struct {
	name   string
	queue  queue
	weight float64
	// startTag is the virtual time at which the flow is served next.
	startTag float64
	// startTagIndex and loadIndex are the flow's indexes in the two heaps; they are undefined while the flow is empty.
	startTagIndex int
	loadIndex     int
}

func (f *flow) load() float64 {
	return float64(f.queue.length()) / f.weight
}

// fairQueue serves flows in proportion to their weights, by start-time fair queueing: serving a ticket advances the
// flow's start tag by the inverse of its weight, and the flow with the smallest start tag is served next. A flow that
// was idle resumes at the current virtual time, so that it can't accumulate credit.
type fairQueue struct {
	key      func(*Ticket) string
	weight   func(*Ticket) float64
	newQueue func() queue

	flows map[string]*flow
	// byStartTag orders the non-empty flows by start tag, byLoad by queue length relative to weight.
	byStartTag indexedHeap[*flow]
	byLoad     indexedHeap[*flow]
	// virtualTime is the start tag of the ticket served last.
	virtualTime float64
	count       int
	// sweepThreshold is the number of empty flows above which the next sweep removes some.
	sweepThreshold int
}

func newFairQueue(key func(*Ticket) string, weight func(*Ticket) float64, newQueue func() queue) *fairQueue {
	return &fairQueue{
		key:      key,
		weight:   weight,
		newQueue: newQueue,
		flows:    map[string]*flow{},
		byStartTag: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.startTag < b.startTag || a.startTag == b.startTag && a.name < b.name },
			index: func(f *flow) *int { return &f.startTagIndex },
		},
		byLoad: indexedHeap[*flow]{
			less:  func(a, b *flow) bool { return a.load() > b.load() || a.load() == b.load() && a.name < b.name },
			index: func(f *flow) *int { return &f.loadIndex },
		},
	}
}

func (q *fairQueue) length() int {
	return q.count
}

func (q *fairQueue) push(t *Ticket) {
	q.sweep()
	f := q.flow(t)
	f.weight = q.weight(t)
	f.queue.push(t)
	q.count++
	if f.queue.length() > 1 {
		q.byLoad.fix(f)
		return
	}
	f.startTag = max(f.startTag, q.virtualTime)
	q.byStartTag.add(f)
	q.byLoad.add(f)
}

func (q *fairQueue) next() *Ticket {
	f := q.byStartTag.top()
	t := f.queue.next()
	q.virtualTime = f.startTag
	f.startTag += 1 / f.weight
	q.afterRemoval(f)
	return t
}

func (q *fairQueue) shed() *Ticket {
	f := q.byLoad.top()
	t := f.queue.shed()
	q.afterRemoval(f)
	return t
}

func (q *fairQueue) remove(t *Ticket) {
	f := q.flows[q.key(t)]
	f.queue.remove(t)
	q.afterRemoval(f)
}

// afterRemoval restores the heap order after a ticket was removed from the flow.
func (q *fairQueue) afterRemoval(f *flow) {
	q.count--
	if f.queue.length() == 0 {
		q.byStartTag.remove(f)
		q.byLoad.remove(f)
		return
	}
	q.byStartTag.fix(f)
	q.byLoad.fix(f)
}

func (q *fairQueue) flow(t *Ticket) *flow {
	name := q.key(t)
	f, ok := q.flows[name]
	if !ok {
		f = &flow{name: name, queue: q.newQueue()}
		q.flows[name] = f
	}
	return f
}

// minIdleFlows is the number of empty flows that are always kept.
const minIdleFlows = 256

// sweep deletes empty flows. While other flows hold tickets, an empty flow whose start tag is ahead of the virtual time
// is kept: without the start tag, the flow could be served first again and again.
func (q *fairQueue) sweep() {
	if q.count == 0 {
		clear(q.flows)
		q.virtualTime = 0
		return
	}
	if q.idleFlows() <= max(q.sweepThreshold, minIdleFlows) {
		return
	}
	for name, f := range q.flows {
		if f.queue.length() == 0 && f.startTag <= q.virtualTime {
			delete(q.flows, name)
		}
	}
	q.sweepThreshold = 2 * q.idleFlows()
}

func (q *fairQueue) idleFlows() int {
	return len(q.flows) - q.byStartTag.Len()
}

// ageQueue holds tickets in the order in which their root requests started.
type ageQueue struct {
	tickets []*Ticket
}

func (q *ageQueue) length() int {
	return len(q.tickets)
}

func (q *ageQueue) push(t *Ticket) {
	i, _ := slices.BinarySearchFunc(q.tickets, t, compareAge)
	q.tickets = slices.Insert(q.tickets, i, t)
}

func (q *ageQueue) next() *Ticket {
	t := q.tickets[0]
	q.tickets = slices.Delete(q.tickets, 0, 1)
	return t
}

func (q *ageQueue) shed() *Ticket {
	last := len(q.tickets) - 1
	t := q.tickets[last]
	q.tickets = slices.Delete(q.tickets, last, last+1)
	return t
}

func (q *ageQueue) remove(t *Ticket) {
	i, found := slices.BinarySearchFunc(q.tickets, t, compareAge)
	if found {
		q.tickets = slices.Delete(q.tickets, i, i+1)
	}
}

func compareAge(a, b *Ticket) int {
	if c := a.RootStart.Compare(b.RootStart); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// newRankQueue returns the queue of one rank: fair between kinds, then between callers, then ordered by root start.
func newRankQueue() *fairQueue {
	newCallers := func() queue {
		return newFairQueue(
			func(t *Ticket) string { return t.Caller },
			func(*Ticket) float64 { return 1 },
			func() queue { return &ageQueue{} },
		)
	}
	return newFairQueue(
		func(t *Ticket) string { return t.Kind },
		func(t *Ticket) float64 { return float64(max(t.Share, 1)) },
		newCallers,
	)
}
