// Package admission decides which requests a backend server runs now, which wait, and which are shed.
//
// A Gate holds an adaptive limit of requests in flight and a short queue. Slots go to the most urgent rank first;
// within a rank turns are shared between kinds by their shares, within a kind between callers, and a caller's older
// roots go before its younger ones. Because a root keeps its start time down the whole chain, every gate of the chain
// prefers the same roots.
//
// A request is refused as soon as it is plain that it would wait longer than its rank may, or past its deadline. To
// make room, the least urgent rank loses first, and of that rank the kind and then the caller with the longest queue
// for its share. Every refusal says when to come back: the time in which the queue drains, times how far the offered
// load of the rank exceeds what is started.
//
// The limit follows what the backend server is seen to do; what it announces is only a hint. See Limit.
//
// # Usage
//
// The package does no I/O, starts nothing and reads no clock. The caller passes the time and carries out what is
// returned:
//
//	verdict := gate.Offer(now, ticket)   // run it, let it wait, or shed it; names any ticket shed in its place
//	next := gate.Finish(now, sample)     // tickets that may run now, and tickets that waited too long
//	next = gate.Advance(now)             // the same, when only time has passed
//
// Every offered ticket gets exactly one answer: from Offer itself, or later as displaced, run, expired or withdrawn. A
// Gate is not safe for concurrent use; the traffic side guards it with one mutex.
package admission

import "time"

// Ranks is the number of ranks; rank 0 is the most urgent.
const Ranks = 10

// Ticket stands for one request at the gate.
type Ticket struct {
	Rank int
	Kind string
	// Share weighs the kind against others of its rank; at least 1.
	Share int
	// Caller is who sent the root request.
	Caller    string
	RootStart time.Time
	Deadline  time.Time
	// SaturatedLimit is the limit, where the request took the last slot of it when it began, else 0. The gate sets it.
	SaturatedLimit int

	// sequence orders tickets of equal RootStart.
	sequence uint64
	expires  time.Time
	// deadlineFirst says that the ticket expires because of its deadline.
	deadlineFirst bool
	// expiryIndex is the ticket's index in the heap of expiry times.
	expiryIndex int
}

// Action is what becomes of an offered ticket.
type Action int

// The actions.
const (
	Run Action = iota
	Enqueue
	Shed
)

// Cause says why a ticket was refused.
type Cause int

// The causes.
const (
	// Overload means that the ticket would wait too long, or that more urgent work took its place.
	Overload Cause = iota
	// QueueTimeout means that the ticket's time in the queue is over.
	QueueTimeout
	// DeadlineTooNear means that the request can't end before its deadline.
	DeadlineTooNear
)

// Refusal is the final answer to a ticket that does not run.
type Refusal struct {
	Ticket *Ticket
	Cause  Cause
	// RetryAfter is when the request may be sent again.
	RetryAfter time.Duration
}

// Verdict answers an offer.
type Verdict struct {
	Action Action
	// Refusal is set where the action is Shed.
	Refusal Refusal
	// Displaced are tickets that waited and are shed to make room.
	Displaced []Refusal
}

// Dequeued is what may happen after a slot is freed or time passes.
type Dequeued struct {
	Run     []*Ticket
	Expired []Refusal
}

// Sample is what one finished request tells about its backend server.
type Sample struct {
	Kind string
	// ServiceTime is the time in the backend server, without its own calls down the chain.
	ServiceTime time.Duration
	// HoldTime is the whole time for which the request held its slot.
	HoldTime time.Duration
	// Overloaded says that the backend server itself shed the request.
	Overloaded bool
	// Incomplete says that the request ended before an answer, so that Took is only a lower bound.
	Incomplete bool
	// Failed says that the answer was a failure, whose latency means nothing.
	Failed bool
	// SaturatedLimit is that of the request's ticket.
	SaturatedLimit int

	// inFlight counts the requests in flight when this one finished.
	inFlight int
}

// isSuccess reports whether the request had a whole good answer.
func (s *Sample) isSuccess() bool {
	return !s.Overloaded && !s.Incomplete && !s.Failed
}
