// Package drain decides which requests a node that is being stopped still accepts, and by when they have to end. Its process is
// killed when the grace time ends, so a request that has not ended by then is broken off while a backend server may be running it.
//
// A drain has two phases. First callers learn that the node leaves, and their requests are accepted if they typically end in
// time. Then only calls of the local backend server are accepted, because the requests that make them were accepted before.
// Whether a request is a call is inferred and may be wrong, so a call must also be expected to end in time.
//
// How long a request takes is an estimate, too. It decides which requests are accepted, but not how they end: every request
// that is sent to a backend server during the drain gets a deadline from which its response still reaches the caller.
// Backend servers stop at the deadline that they are given and respond.
//
// # Usage
//
//	state := drain.State{Phase: drain.Refusing, End: end, ReplyTime: replyTime}
//	if !state.Accepts(now, drain.Request{IsCall: isCall, Deadline: deadline, Duration: duration}) {
//		return refusal
//	}
//	limit := state.Limit(deadline)
//
// The package does no I/O and reads no clock.
package drain

import "time"

// Phase is a phase of the stop of a node.
type Phase int32

const (
	// Serving is before the stop.
	Serving Phase = iota
	// Closing is while callers learn that the node leaves.
	Closing
	// Refusing is after that, until the end of the drain.
	Refusing
)

// State is the state of the drain.
type State struct {
	Phase Phase
	// End is when the requests that have not ended are given up. It is known from Closing on.
	End time.Time
	// ReplyTime is the part of the drain, right before its end, that is kept for the responses of backend servers that
	// stopped at their deadlines.
	ReplyTime time.Duration
}

// Request describes a request that arrives.
type Request struct {
	// IsCall is whether the request is likely to be a call of the local backend server.
	IsCall bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Duration describes the durations of requests of the same kind.
	Duration Duration
}

// Duration describes how long the requests of one kind take, with their queueing delay. Both fields are 0 if that is unknown.
type Duration struct {
	// Typical is the average.
	Typical time.Duration
	// Longest is the time within which nearly all of the requests end.
	Longest time.Duration
}

// Accepts reports whether the request may begin.
func (s State) Accepts(now time.Time, r Request) bool {
	switch {
	case s.Phase == Serving:
		return true
	case s.Phase == Closing:
		return now.Add(r.Duration.Typical).Before(s.lastDeadline())
	case !r.IsCall:
		return false
	}
	return s.endsInTime(now, r)
}

// endsInTime reports whether the request ends before the drain does: because its caller doesn't wait longer, or, as an estimate,
// because requests of its kind do.
func (s State) endsInTime(now time.Time, r Request) bool {
	isKnown := r.Duration.Longest > 0
	return isKnown && now.Add(r.Duration.Longest).Before(s.lastDeadline()) || r.Deadline.Before(s.End)
}

// lastDeadline returns the latest deadline of a request that outlasts the drain.
func (s State) lastDeadline() time.Time {
	return s.End.Add(-s.ReplyTime)
}

// Limit is the time that a request has.
type Limit struct {
	// Deadline is when the backend server stops working on the request.
	Deadline time.Time
	// ReplyGrace is how long after the deadline the response of the backend server is awaited. It is 0 if the caller
	// doesn't wait longer than that.
	ReplyGrace time.Duration
}

// Limit returns the limit of a request that is sent to a backend server in this state, given its deadline. A request that outlasts
// the drain gets one after which there is time left for the response.
func (s State) Limit(deadline time.Time) Limit {
	if s.Phase == Serving || deadline.Before(s.End) {
		return Limit{Deadline: deadline}
	}
	return Limit{Deadline: s.lastDeadline(), ReplyGrace: s.ReplyTime}
}
