// Package drain decides which requests a node that is being stopped still accepts. Its process is killed when the grace time
// ends, so a request that is accepted and has not ended by then is broken off while a backend server may be running it.
//
// A drain has two phases. First callers learn that the node leaves, and their requests are accepted if they typically end in
// time. Then only calls of the local backend server are accepted, because the requests that make them were accepted before.
// Whether a request is a call is inferred and may be wrong, so a call must be known to end in time as well.
//
// # Usage
//
//	state := drain.State{Phase: drain.Refusing, End: end}
//	if !state.Accepts(now, drain.Request{IsCall: isCall, Deadline: deadline, Duration: duration}) {
//		return refusal
//	}
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
		return now.Add(r.Duration.Typical).Before(s.End)
	case !r.IsCall:
		return false
	}
	return s.endsInTime(now, r)
}

// endsInTime reports whether the request is known to end before the drain does: because requests of its kind do, or because
// its caller doesn't wait longer.
func (s State) endsInTime(now time.Time, r Request) bool {
	isKnown := r.Duration.Longest > 0
	return isKnown && now.Add(r.Duration.Longest).Before(s.End) || r.Deadline.Before(s.End)
}
