// Package admission decides which requests a backend server runs now, which are queued, and which are shed.
//
// A Gate holds an adaptive in-flight limit and a short queue. Each request in flight takes one slot of the limit. Free
// slots are given to the most urgent rank first. Within a rank, kinds share the slots in proportion to their shares;
// within a kind, callers share them equally; and the requests of one caller are served in the order in which their root
// requests started. A root request keeps its start time along the whole call chain, so every gate on the chain prefers
// the same root requests.
//
// A request is refused as soon as its expected queueing delay exceeds the limit of its rank, or its deadline. To make
// room, the gate sheds the least urgent rank first, and within that rank from the kind, and then the caller, with the
// longest queue relative to its share. Every refusal carries a Retry-After: the time in which the queue drains, times
// the ratio of offered to started requests of the rank.
//
// The in-flight limit follows the observed behaviour of the backend server. The slots that the backend server announces
// are only a hint; see Limit.
//
// # Usage
//
// The package does no I/O, starts no goroutines and reads no clock. The caller passes the time and carries out the
// returned decisions:
//
//	verdict := gate.Offer(now, ticket)   // run, enqueue or shed the ticket; lists tickets displaced by it
//	next := gate.Finish(now, sample)     // tickets that may run now, and tickets that expired in the queue
//	next = gate.Advance(now)             // the same, when only time has passed
//
// Every offered ticket gets exactly one final decision: from Offer itself, or later as displaced, run, expired or
// withdrawn. A Gate is not safe for concurrent use; package backend guards it with a mutex.
package admission

import "time"

// Ranks is the number of ranks; rank 0 is the most urgent.
const Ranks = 10

// Ticket represents one request at the gate.
type Ticket struct {
	Rank int
	Kind string
	// Share is the weight of the kind relative to other kinds of its rank; at least 1.
	Share int
	// Caller is the sender of the root request.
	Caller    string
	RootStart time.Time
	Deadline  time.Time
	// SaturatedLimit is the in-flight limit at the start of the request if the request took the last slot, else 0. The
	// gate sets it.
	SaturatedLimit int

	// sequence orders tickets with equal RootStart.
	sequence uint64
	expires  time.Time
	// deadlineFirst reports whether the ticket expires because of its deadline rather than its queue timeout.
	deadlineFirst bool
	// expiryIndex is the ticket's index in the heap of expiry times.
	expiryIndex int
}

// Action is the immediate decision on an offered ticket.
type Action int

// Possible values of Action.
const (
	Run Action = iota
	Enqueue
	Shed
)

// Cause is the reason why a ticket was refused.
type Cause int

// Possible values of Cause.
const (
	// Overload means that the ticket's expected queueing delay is too long, or that more urgent work displaced it.
	Overload Cause = iota
	// QueueTimeout means that the ticket stayed in the queue for too long.
	QueueTimeout
	// DeadlineTooNear means that the request can't finish before its deadline.
	DeadlineTooNear
)

// Refusal is the final decision on a ticket that does not run.
type Refusal struct {
	Ticket *Ticket
	Cause  Cause
	// RetryAfter is the time after which the request may be sent again.
	RetryAfter time.Duration
}

// Verdict is the decision on an offered ticket.
type Verdict struct {
	Action Action
	// Refusal is set if Action is Shed.
	Refusal Refusal
	// Displaced lists queued tickets that are shed to make room.
	Displaced []Refusal
}

// Dequeued lists the tickets that leave the queue after a slot was freed or time has passed.
type Dequeued struct {
	Run     []*Ticket
	Expired []Refusal
}

// Sample is the measurement of one finished request.
type Sample struct {
	Kind string
	// ServiceTime is the time spent in the backend server, without the calls that the request itself made.
	ServiceTime time.Duration
	// HoldTime is the whole time for which the request held its slot.
	HoldTime time.Duration
	// Overloaded reports whether the backend server itself shed the request.
	Overloaded bool
	// Incomplete reports whether the request ended before a reply, so that ServiceTime is only a lower bound.
	Incomplete bool
	// Failed reports whether the reply was a failure, whose latency carries no information.
	Failed bool
	// SaturatedLimit is copied from the request's ticket.
	SaturatedLimit int

	// inFlight is the number of requests in flight when this one finished, itself included.
	inFlight int
}

// isSuccess reports whether the request got a complete, successful reply.
func (s *Sample) isSuccess() bool {
	return !s.Overloaded && !s.Incomplete && !s.Failed
}
