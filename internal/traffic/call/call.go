// Package call holds the messages of the traffic side: a request on its way to a backend server, the reply that
// comes back, and the outcome and reason that a caller is told.
//
// # Usage
//
// The caller side builds a Request from HTTP, the flow passes it on, and every layer answers with a Reply:
//
//	reply := call.Refused(call.NotRun, call.ReasonOverload, 250*time.Millisecond)
package call

import (
	"net/http"
	"time"
)

// Outcome says what a caller may rely on about its request.
type Outcome int

// The outcomes, from docs/CALLERS.md.
const (
	// Unknown means that the request may have run; nobody will run it again.
	Unknown Outcome = iota
	// Ran means that the reply is the backend server's own whole answer.
	Ran
	// NotRun means that the request under its key has not run and that no late copy can still run.
	NotRun
	// NotAdmitted means that this attempt started nothing; an earlier attempt under the same key may have.
	NotAdmitted
)

var outcomeNames = map[Outcome]string{
	Unknown:     "unknown",
	Ran:         "ran",
	NotRun:      "not_run",
	NotAdmitted: "not_admitted",
}

// String returns the name that the outcome header carries.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Root identifies the request of a caller from which a chain of calls grew. Every call of the chain carries it.
type Root struct {
	// ID is unique to the root request.
	ID string
	// Start is when the entry node took the root request.
	Start time.Time
	// Rank is the rank of the root's kind; 0 is the most urgent.
	Rank int
	// Caller names who sent the root request, for fairness between callers.
	Caller string
}

// Request is one request on its way to a backend server.
type Request struct {
	// AttemptID is unique to this attempt to run the request.
	AttemptID string
	Root      Root
	// Depth is 0 for a root request and grows by one for each call down the chain.
	Depth      int
	Service    string
	Kind       string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// Key names a non-idempotent request for all of its attempts.
	Key string
	// KeyMinted says that the entry node made the key for this very request.
	KeyMinted bool
	Deadline  time.Time
	// CallerDeadline is until when the caller waits, which may be longer; it is not passed on.
	CallerDeadline time.Time
	// TargetLatency is the time within which an answer is worth most, 0 for none; it is not passed on.
	TargetLatency time.Duration
	// AttemptsLeft is how many further attempts the whole chain below may spend.
	AttemptsLeft int
	// Attempts is the pool that AttemptsLeft comes from on the node that sends the request; it is not passed on.
	Attempts *Attempts
	// Resends is how often the caller says that it has sent the request before.
	Resends int
	// NewConnection says that an earlier attempt went out on a connection that was silent, so that no kept one is
	// trusted; it is not passed on.
	NewConnection bool
	// IsCrossZone says that the attempt goes to another availability zone; it is not passed on.
	IsCrossZone bool
	// Spilled says that the sender's own zone has instances of the service, and that the attempt goes to another zone.
	Spilled bool
	// Crashes is how many backend servers crashed, as far as the sender knows, while they ran the request.
	Crashes int
	// SourceNode is the node that sent the request here; empty at the entry.
	SourceNode string
	// Delegated says that the key's home passed the request on to be run.
	Delegated bool
	// ReceivedAt is when the sending node took the request, by this node's clock and without the time on the way.
	ReceivedAt time.Time
	// ChallengeToken is the token of the challenge that this copy answers.
	ChallengeToken string
	// Resent says that an earlier copy was sent whose fate is open.
	Resent bool
	// TargetIncarnation is the process that the attempt is meant for; 0 for any.
	TargetIncarnation uint64
}

// Load is what a node reports about its own backend server with each reply.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Limit    int `json:"limit"`
	// SheddingRank is the most urgent rank that is being shed; 0 for none.
	SheddingRank int `json:"shedding_rank"`
}

// Reply is the answer to one Request.
type Reply struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
	Status     int
	Header     http.Header
	Body       []byte
	// AttemptsUsed is how much of AttemptsLeft was spent below.
	AttemptsUsed int
	// Final forbids further attempts by anybody up the chain.
	Final bool
	// DownstreamFailure is why a call further down the chain failed, where that made this reply a failure. Only the node next
	// to a failure may try again, so such a reply is passed up.
	DownstreamFailure Reason
	Load              Load
	// QueueingDelay is how long the request, and the calls down its chain, stood in queues.
	QueueingDelay time.Duration
	// CrossZoneBytes is how many bytes the request, where it came from another availability zone, and the calls down its chain sent
	// between zones. A node reports those of the calls; its sender adds the request's own.
	CrossZoneBytes int64
	// ChallengeToken is the token of a challenge: the request runs only if it is sent again with it.
	ChallengeToken string
}

// Failure returns why the reply is no good answer, or ReasonNone. An answer of the backend server is judged by its
// status.
func (r *Reply) Failure() Reason {
	switch {
	case r.Outcome != Ran && r.Reason != ReasonNone:
		return r.Reason
	case r.Outcome != Ran:
		return ReasonBackendFailed
	case r.Status == http.StatusServiceUnavailable:
		return ReasonOverload
	case r.Status >= http.StatusInternalServerError:
		return ReasonBackendFailed
	}
	return ReasonNone
}

// Refused returns the reply to a request that was given up for the reason.
func Refused(outcome Outcome, reason Reason, retryAfter time.Duration) Reply {
	return Reply{
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: retryAfter,
		Status:     reason.Entry().Status,
		Final:      reason.Entry().Final,
	}
}

// Cause returns the failure that the reply goes back to: that of a call further down, else its own.
func (r *Reply) Cause() Reason {
	failure := r.Failure()
	if failure != ReasonNone && r.DownstreamFailure != ReasonNone {
		return r.DownstreamFailure
	}
	return failure
}
