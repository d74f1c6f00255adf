package call

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/lineage"
)

// RunningRequest is the state of a request that runs on the local backend server. Calls that carry its token inherit
// its root, its deadline and its attempt allowance, regardless of their headers. Calls that are assigned to it by
// inference inherit only its root.
type RunningRequest struct {
	Root     Root
	Depth    int
	Kind     string
	Started  time.Time
	Deadline time.Time
	// Context is canceled when the request ends, which also ends its calls.
	Context context.Context

	// Attempts is the attempt allowance that all calls below the request share.
	Attempts *AttemptAllowance

	mu sync.Mutex
	// failure is the cause of the most recent failure of a call, or ReasonNone.
	failure Reason
	// openCalls holds the calls that have not ended.
	openCalls map[*OpenCall]bool
	// openSince is the time since which at least one call has been open. It is valid only while openCalls is not empty.
	openSince time.Time
	// lastCallEnd is the time at which the most recent call ended; zero if none has.
	lastCallEnd time.Time
	// callTime is the total time during which at least one call was open, without the current period.
	callTime time.Duration
	// callsInferred is whether calls were assigned to the request by inference. If the request then fails after any
	// calls, the failure is attributed to a call.
	callsInferred bool
	// endedCalls is the number of calls that have ended, and queueingDelay their total queueing delay.
	endedCalls    int
	queueingDelay time.Duration
	// crossZoneBytes is the number of bytes that the ended calls sent between availability zones.
	crossZoneBytes int64
}

// DownstreamSummary sums up the calls that a request has made.
type DownstreamSummary struct {
	// Calls is the number of calls that the request made itself, including those that have not ended.
	Calls int
	// QueueingDelay is the total queueing delay of the calls and of all calls below them.
	QueueingDelay time.Duration
	// CrossZoneBytes is the number of bytes sent between availability zones for the calls and for all calls below them.
	CrossZoneBytes int64
	// Failure is the cause of the most recent failure of a call, or ReasonNone.
	Failure Reason
}

// Downstream returns the summary of the calls made until now. For a call that has not ended, the time by which it exceeds
// the typical duration of its kind counts as queueing delay.
func (r *RunningRequest) Downstream(now time.Time) DownstreamSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	summary := DownstreamSummary{Calls: r.endedCalls + len(r.openCalls), QueueingDelay: r.queueingDelay, CrossZoneBytes: r.crossZoneBytes, Failure: r.failure}
	for child := range r.openCalls {
		summary.QueueingDelay += max(now.Sub(child.start)-child.typicalDuration, 0)
	}
	return summary
}

// RecordReply records the reply to a call that the request made.
func (r *RunningRequest) RecordReply(reply *Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedCalls++
	r.queueingDelay += reply.QueueingDelay
	r.crossZoneBytes += reply.CrossZoneBytes
	if cause := reply.Cause(); cause != ReasonNone {
		r.failure = cause
	}
}

// CompleteReply sets the number of attempts used below the request and, if the reply is a failure, its downstream cause.
func (r *RunningRequest) CompleteReply(reply *Reply) {
	reply.AttemptsUsed = r.Attempts.Close()
	if reply.Failure() == ReasonNone {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply.DownstreamFailure = r.failure
	if r.failure == ReasonNone && r.endedCalls > 0 && r.callsInferred {
		reply.DownstreamFailure = ReasonBackendFailed
	}
}

func (r *RunningRequest) markCallsInferred() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callsInferred = true
}

func (r *RunningRequest) runningRequest() lineage.RunningRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lineage.RunningRequest{Kind: r.Kind, Started: r.Started, Deadline: r.Deadline, HasOpenCall: len(r.openCalls) > 0, LastCallEnd: r.lastCallEnd}
}

// OpenCall is a call that a running request has made and that has not ended.
type OpenCall struct {
	start time.Time
	// typicalDuration is the typical duration of calls of this kind, without queueing delay.
	typicalDuration time.Duration
}

// BeginCall records the start of a call. typicalDuration is the typical duration of calls of its kind, without queueing
// delay.
func (r *RunningRequest) BeginCall(now time.Time, typicalDuration time.Duration) *OpenCall {
	child := &OpenCall{start: now, typicalDuration: typicalDuration}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.openCalls) == 0 {
		r.openCalls = map[*OpenCall]bool{}
		r.openSince = now
	}
	r.openCalls[child] = true
	return child
}

// EndCall records the end of a call.
func (r *RunningRequest) EndCall(now time.Time, child *OpenCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openCalls, child)
	r.lastCallEnd = now
	if len(r.openCalls) == 0 {
		r.callTime += now.Sub(r.openSince)
	}
}

// CallTime returns for how long the request has waited for its calls until now, including those that have not ended.
// This time is not part of the backend server's service time.
func (r *RunningRequest) CallTime(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.openCalls) > 0 {
		return r.callTime + now.Sub(r.openSince)
	}
	return r.callTime
}

// RunningRequests holds the requests that run on the local backend server, by the token that was sent to the backend
// server with each. A call with an unknown token inherits nothing.
type RunningRequests struct {
	mu      sync.RWMutex
	byToken map[string]*RunningRequest
	// canceled holds the tokens of requests that were canceled while they ran; canceledOrder holds the same tokens,
	// oldest first.
	canceled      map[string]bool
	canceledOrder []string
	// matcher infers which running request made a call that has no token. candidates and runningRequests are reused
	// between calls of Parent and describe the same requests in the same order.
	matcher         *lineage.Matcher
	candidates      []*RunningRequest
	runningRequests []lineage.RunningRequest
}

// maxCanceledTokens is the number of tokens of canceled requests that are remembered.
const maxCanceledTokens = 4096

// NewRunningRequests returns an empty table.
func NewRunningRequests() *RunningRequests {
	return &RunningRequests{byToken: map[string]*RunningRequest{}, canceled: map[string]bool{}, matcher: lineage.NewMatcher()}
}

// Begin adds a request under the token and returns its state. ctx ends with the request; if it has ended before End
// is called, the request counts as canceled.
func (t *RunningRequests) Begin(ctx context.Context, token string, r *Request) *RunningRequest {
	running := &RunningRequest{
		Root:     r.Root,
		Depth:    r.Depth,
		Kind:     r.Kind,
		Started:  time.Now(),
		Deadline: r.Deadline,
		Context:  ctx,
		Attempts: NewAttemptAllowance(r.AttemptsLeft),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byToken[token] = running
	return running
}

// End removes the request under the token. The token of a canceled request is remembered, so that a backend server that
// continues to work on it cannot make calls for it.
func (t *RunningRequests) End(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, ok := t.byToken[token]
	if !ok {
		return
	}
	delete(t.byToken, token)
	if running.Context.Err() != nil {
		t.rememberCanceled(token)
	}
}

func (t *RunningRequests) rememberCanceled(token string) {
	t.canceled[token] = true
	t.canceledOrder = append(t.canceledOrder, token)
	if len(t.canceledOrder) > maxCanceledTokens {
		delete(t.canceled, t.canceledOrder[0])
		t.canceledOrder = t.canceledOrder[1:]
	}
}

// Find returns the running request under the token, or nil.
func (t *RunningRequests) Find(token string) *RunningRequest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byToken[token]
}

// Count returns the number of requests that run on the local backend server.
func (t *RunningRequests) Count() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.byToken)
}

// Parent returns the running request that most likely made a call without a token, or nil if none matches. It also
// reports whether the request is likely to be a call of the local backend server at all. Both results are inferred and
// may be wrong.
func (t *RunningRequests) Parent(now time.Time, c lineage.Call) (*RunningRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.candidates, t.runningRequests = t.candidates[:0], t.runningRequests[:0]
	for _, running := range t.byToken {
		t.candidates = append(t.candidates, running)
		t.runningRequests = append(t.runningRequests, running.runningRequest())
	}
	index, isCall := t.matcher.Match(now, c, t.runningRequests)
	if index == lineage.Unknown {
		return nil, isCall
	}
	t.candidates[index].markCallsInferred()
	return t.candidates[index], isCall
}

// IsCanceled reports whether the token belongs to a request that was canceled while it ran.
func (t *RunningRequests) IsCanceled(token string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.canceled[token]
}
