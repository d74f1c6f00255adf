package call

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/lineage"
)

// Chain is a request that runs on the local backend server. Calls that the backend server makes for it inherit its
// root, its deadline and its attempts, whatever their headers say.
type Chain struct {
	Root     Root
	Depth    int
	Kind     string
	Started  time.Time
	Deadline time.Time
	// Context ends with the request, so that its calls end too.
	Context context.Context

	// Attempts are what the calls down the chain may spend together.
	Attempts *Attempts

	mu      sync.Mutex
	failure Reason
	// openCalls are the calls down the chain that have not ended.
	openCalls    map[*Child]bool
	openSince    time.Time
	lastChildEnd time.Time
	childTime    time.Duration
	// callsInferred says that it is a guess which calls are those of the request. A failure after some of them is then taken
	// for one of a call.
	callsInferred bool
	// endedCalls counts the calls down the chain, and waited is how long they stood in queues.
	endedCalls    int
	queueingDelay time.Duration
	// crossZoneBytes is how many bytes they sent between availability zones.
	crossZoneBytes int64
}

// DownstreamSummary is what the calls of a request came to.
type DownstreamSummary struct {
	Calls int
	// QueueingDelay is how long they, and those below them, stood in queues.
	QueueingDelay time.Duration
	// CrossZoneBytes is how many bytes they sent between availability zones.
	CrossZoneBytes int64
	// Failure is why one of them failed, or ReasonNone.
	Failure Reason
}

// Downstream returns what the calls have come to. What one that hasn't ended takes longer than is usual counts as waiting.
func (c *Chain) Downstream(now time.Time) DownstreamSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := DownstreamSummary{Calls: c.endedCalls + len(c.openCalls), QueueingDelay: c.queueingDelay, CrossZoneBytes: c.crossZoneBytes, Failure: c.failure}
	for child := range c.openCalls {
		summary.QueueingDelay += max(now.Sub(child.start)-child.typicalDuration, 0)
	}
	return summary
}

// RecordReply takes in the reply to a call down the chain.
func (c *Chain) RecordReply(reply *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedCalls++
	c.queueingDelay += reply.QueueingDelay
	c.crossZoneBytes += reply.CrossZoneBytes
	if cause := reply.Cause(); cause != ReasonNone {
		c.failure = cause
	}
}

// CompleteReply completes the reply to the request: the attempts that were spent below, and whether its failure came from
// further down.
func (c *Chain) CompleteReply(reply *Reply) {
	reply.AttemptsUsed = c.Attempts.Close()
	if reply.Failure() == ReasonNone {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.DownstreamFailure = c.failure
	if c.failure == ReasonNone && c.endedCalls > 0 && c.callsInferred {
		reply.DownstreamFailure = ReasonBackendFailed
	}
}

func (c *Chain) markCallsInferred() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callsInferred = true
}

func (c *Chain) runningRequest() lineage.RunningRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lineage.RunningRequest{Kind: c.Kind, Started: c.Started, Deadline: c.Deadline, HasOpenCall: len(c.openCalls) > 0, LastCallEnd: c.lastChildEnd}
}

// Child is a call down the chain that has not ended.
type Child struct {
	start time.Time
	// typicalDuration is how long calls of its kind take without what they wait.
	typicalDuration time.Duration
}

// BeginChild marks the start of a call down the chain, of a kind that usually takes so long without what it waits.
func (c *Chain) BeginChild(now time.Time, typicalDuration time.Duration) *Child {
	child := &Child{start: now, typicalDuration: typicalDuration}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openCalls) == 0 {
		c.openCalls = map[*Child]bool{}
		c.openSince = now
	}
	c.openCalls[child] = true
	return child
}

// EndChild marks the end of a call down the chain.
func (c *Chain) EndChild(now time.Time, child *Child) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.openCalls, child)
	c.lastChildEnd = now
	if len(c.openCalls) == 0 {
		c.childTime += now.Sub(c.openSince)
	}
}

// ChildTime returns how long the request has waited for calls down the chain until now, also for one that hasn't
// ended. That says nothing about the backend server that made them.
func (c *Chain) ChildTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.openCalls) > 0 {
		return c.childTime + now.Sub(c.openSince)
	}
	return c.childTime
}

// Chains holds the requests that run on the local backend server, by the token that the backend server got with
// each. A token that is not in it grants nothing.
type Chains struct {
	mu      sync.RWMutex
	byToken map[string]*Chain
	// canceled holds the tokens of requests that were canceled while they ran, and canceledOrder the oldest first.
	canceled      map[string]bool
	canceledOrder []string
	// matcher finds the requests of calls without a token, among candidates, which are the same as running.
	matcher         *lineage.Matcher
	candidates      []*Chain
	runningRequests []lineage.RunningRequest
}

// maxCanceledTokens is how many tokens of canceled requests are remembered.
const maxCanceledTokens = 4096

// NewChains returns an empty table.
func NewChains() *Chains {
	return &Chains{byToken: map[string]*Chain{}, canceled: map[string]bool{}, matcher: lineage.NewMatcher()}
}

// Begin enters a request under the token and returns its chain.
func (t *Chains) Begin(ctx context.Context, token string, r *Request) *Chain {
	c := &Chain{
		Root:     r.Root,
		Depth:    r.Depth,
		Kind:     r.Kind,
		Started:  time.Now(),
		Deadline: r.Deadline,
		Context:  ctx,
		Attempts: NewAttempts(r.AttemptsLeft),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byToken[token] = c
	return c
}

// End removes the request under the token. The token of a request that was canceled is remembered, so that a backend
// server that works on regardless can't start calls for it.
func (t *Chains) End(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.byToken[token]
	if !ok {
		return
	}
	delete(t.byToken, token)
	if c.Context.Err() != nil {
		t.rememberCanceled(token)
	}
}

func (t *Chains) rememberCanceled(token string) {
	t.canceled[token] = true
	t.canceledOrder = append(t.canceledOrder, token)
	if len(t.canceledOrder) > maxCanceledTokens {
		delete(t.canceled, t.canceledOrder[0])
		t.canceledOrder = t.canceledOrder[1:]
	}
}

// Find returns the chain under the token, or nil.
func (t *Chains) Find(token string) *Chain {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byToken[token]
}

// Parent returns the running request that a call without a token was most likely made for, or nil, and reports whether it is
// a call at all. Both are guesses.
func (t *Chains) Parent(now time.Time, c lineage.Call) (*Chain, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.candidates, t.runningRequests = t.candidates[:0], t.runningRequests[:0]
	for _, chain := range t.byToken {
		t.candidates = append(t.candidates, chain)
		t.runningRequests = append(t.runningRequests, chain.runningRequest())
	}
	index, isCall := t.matcher.Match(now, c, t.runningRequests)
	if index == lineage.Unknown {
		return nil, isCall
	}
	t.candidates[index].markCallsInferred()
	return t.candidates[index], isCall
}

// IsCanceled reports whether the token belongs to a request that was canceled while it ran.
func (t *Chains) IsCanceled(token string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.canceled[token]
}
