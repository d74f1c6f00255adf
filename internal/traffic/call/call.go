// Package call defines the messages that the traffic packages exchange: a request on its way to a backend server, its
// reply, and the outcome and reason that are reported to the caller. It also holds the state of the requests that run
// on the local backend server and of the calls that they make.
//
// # Usage
//
// Package caller builds a Request from an HTTP request, package flow forwards it, and every layer returns a Reply:
//
//	reply := call.Refused(call.NotRun, call.ReasonOverload, 250*time.Millisecond)
package call

import (
	"net/http"
	"time"
)

// Outcome tells a caller whether its request ran or may have run.
type Outcome int

// The outcomes that docs/CALLERS.md defines.
const (
	// Unknown means that the request may have run. No node will run it again.
	Unknown Outcome = iota
	// Ran means that the reply is the complete response of the backend server.
	Ran
	// NotRun means that the request has not run under its key, and that no delayed copy of it can still run.
	NotRun
	// NotAdmitted means that this attempt did not run. An earlier attempt under the same key may have run.
	NotAdmitted
)

var outcomeNames = map[Outcome]string{
	Unknown:     "unknown",
	Ran:         "ran",
	NotRun:      "not_run",
	NotAdmitted: "not_admitted",
}

// String returns the name of the outcome as sent in the outcome header.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Root describes the root request of a call tree. Every call in the tree carries it.
type Root struct {
	// ID is unique to the root request.
	ID string
	// Start is the time at which the entry node received the root request.
	Start time.Time
	// Rank is the rank of the root request's kind; 0 is the most urgent.
	Rank int
	// Caller is the name of the sender of the root request. It is used to share capacity fairly between callers.
	Caller string
}

// Request is an attempt to run a request on a backend server.
type Request struct {
	// AttemptID is unique to this attempt.
	AttemptID string
	Root      Root
	// Depth is the number of calls between the root request and this one; 0 for a root request.
	Depth      int
	Service    string
	Kind       string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Idempotent bool
	// Key is the idempotency key that all attempts of a non-idempotent request share.
	Key string
	// KeyMinted is whether the entry node generated the key for this request.
	KeyMinted bool
	Deadline  time.Time
	// CallerDeadline is the time until which the caller waits; it may be later than Deadline. It is not sent to other
	// nodes.
	CallerDeadline time.Time
	// ReplyGrace is how long after Deadline the caller still gets a response of the backend server. Nodes await the response for
	// so long, instead of giving the request up at its deadline.
	ReplyGrace time.Duration
	// TargetLatency is the latency up to which a response has its full value; 0 for none. It is not sent to other nodes.
	TargetLatency time.Duration
	// AttemptsLeft is the attempt allowance of the request and of all calls below it.
	AttemptsLeft int
	// Attempts is the allowance on the sending node from which AttemptsLeft is lent. It is not sent to other nodes.
	Attempts *AttemptAllowance
	// Resends is the number of times that the caller has sent the request before, as reported by the caller.
	Resends int
	// NewConnection is whether the attempt has to use a new connection, because an earlier attempt got no response on its
	// connection and no persistent one is trusted after that. It is not sent to other nodes.
	NewConnection bool
	// IsCrossZone is whether the attempt goes to another availability zone. It is not sent to other nodes.
	IsCrossZone bool
	// Spilled is whether the attempt goes to another availability zone although the sender's zone has instances of the
	// service.
	Spilled bool
	// Crashes is the number of backend servers that crashed while they ran the request, as far as the sender knows.
	Crashes int
	// SourceNode is the node that sent the request to this node; empty on the entry node.
	SourceNode string
	// Delegated is whether the key owner forwarded the request to this node to run it.
	Delegated bool
	// ReceivedAt is the time at which the sending node received the request, converted to this node's clock. The
	// conversion ignores the transit time between the nodes.
	ReceivedAt time.Time
	// ChallengeToken is the token of the challenge that this copy of the request responds to.
	ChallengeToken string
	// Resent is whether an earlier copy was sent whose outcome is unknown.
	Resent bool
	// TargetIncarnation is the incarnation of the node that the attempt is meant for; 0 for any.
	TargetIncarnation uint64
}

// HostHeader carries the host from the caller's request between nodes.
const HostHeader = "Host"

// Host returns the host that the caller requested; empty if it named the service.
func (r *Request) Host() string {
	return r.Header.Get(HostHeader)
}

// Load is the load of a node's backend server, which the node reports with each reply.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Limit    int `json:"limit"`
	// SheddingRank is the most urgent rank of which requests are being shed; 0 for none.
	SheddingRank int `json:"shedding_rank"`
}

// Reply is the reply to a Request.
type Reply struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
	Status     int
	Header     http.Header
	Body       []byte
	// AttemptsUsed is the number of attempts used of the request's AttemptsLeft.
	AttemptsUsed int
	// Final is whether no node up the call chain may retry the request.
	Final bool
	// DownstreamFailure is the reason of the downstream failure that caused this one, or ReasonNone. Only the node next
	// to a failure may retry, so the nodes above return such a reply to their callers.
	DownstreamFailure Reason
	Load              Load
	// LeavingStart identifies the start of the backend server of the replying node if it has said that it leaves.
	LeavingStart string
	// QueueingDelay is the total queueing delay of the request and of the calls below it.
	QueueingDelay time.Duration
	// CrossZoneBytes is the number of bytes sent between availability zones for the request and for the calls below it.
	// The node that runs the request reports the bytes of the calls; the sender adds those of the request itself.
	CrossZoneBytes int64
	// ChallengeToken is the token of a challenge: the request runs only if it is sent again with this token.
	ChallengeToken string
}

// Failure returns the reason why the reply counts as a failure, or ReasonNone for a success. A response of the backend
// server is classified by its status.
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

// Refused returns the reply to a request that was refused or abandoned for the given reason.
func Refused(outcome Outcome, reason Reason, retryAfter time.Duration) Reply {
	return Reply{
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: retryAfter,
		Status:     reason.Entry().Status,
		Final:      reason.Entry().Final,
	}
}

// Cause returns the original failure behind the reply: the downstream failure if there is one, otherwise the reply's own.
// It returns ReasonNone for a success.
func (r *Reply) Cause() Reason {
	failure := r.Failure()
	if failure != ReasonNone && r.DownstreamFailure != ReasonNone {
		return r.DownstreamFailure
	}
	return failure
}
