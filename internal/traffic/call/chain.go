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
	// Running ends with the request, so that its calls end too.
	Running context.Context

	// Attempts are what the calls down the chain may spend together.
	Attempts *Attempts

	mu      sync.Mutex
	failure Reason
	// open are the calls down the chain that have not ended.
	open       map[*Child]bool
	childStart time.Time
	childEnd   time.Time
	childTime  time.Duration
	// guessed says that it is a guess which calls are those of the request. A failure after some of them is then taken
	// for one of a call.
	guessed bool
	// calls counts the calls down the chain, and waited is how long they stood in queues.
	calls  int
	waited time.Duration
	// farBytes is how many bytes they sent between availability zones.
	farBytes int64
}

// Below is what the calls of a request came to.
type Below struct {
	Calls int
	// Waited is how long they, and those below them, stood in queues.
	Waited time.Duration
	// FarBytes is how many bytes they sent between availability zones.
	FarBytes int64
	// Failure is why one of them failed, or ReasonNone.
	Failure Reason
}

// Below returns what the calls have come to. What one that hasn't ended takes longer than is usual counts as waiting.
func (c *Chain) Below(now time.Time) Below {
	c.mu.Lock()
	defer c.mu.Unlock()
	below := Below{Calls: c.calls + len(c.open), Waited: c.waited, FarBytes: c.farBytes, Failure: c.failure}
	for child := range c.open {
		below.Waited += max(now.Sub(child.start)-child.usual, 0)
	}
	return below
}

// NoteReply takes in the reply to a call down the chain.
func (c *Chain) NoteReply(reply *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.waited += reply.Waited
	c.farBytes += reply.FarBytes
	if cause := reply.Cause(); cause != ReasonNone {
		c.failure = cause
	}
}

// Settle completes the reply to the request: the attempts that were spent below, and whether its failure came from
// further down.
func (c *Chain) Settle(reply *Reply) {
	reply.AttemptsUsed = c.Attempts.Close()
	if reply.Failure() == ReasonNone {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Deeper = c.failure
	if c.failure == ReasonNone && c.calls > 0 && c.guessed {
		reply.Deeper = ReasonBackendFailed
	}
}

func (c *Chain) markGuessed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guessed = true
}

func (c *Chain) asRunning() lineage.RunningRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lineage.RunningRequest{Kind: c.Kind, Started: c.Started, Deadline: c.Deadline, HasOpenCall: len(c.open) > 0, LastCallEnd: c.childEnd}
}

// Child is a call down the chain that has not ended.
type Child struct {
	start time.Time
	// usual is how long calls of its kind take without what they wait.
	usual time.Duration
}

// BeginChild marks the start of a call down the chain, of a kind that usually takes so long without what it waits.
func (c *Chain) BeginChild(now time.Time, usual time.Duration) *Child {
	child := &Child{start: now, usual: usual}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) == 0 {
		c.open = map[*Child]bool{}
		c.childStart = now
	}
	c.open[child] = true
	return child
}

// EndChild marks the end of a call down the chain.
func (c *Chain) EndChild(now time.Time, child *Child) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, child)
	c.childEnd = now
	if len(c.open) == 0 {
		c.childTime += now.Sub(c.childStart)
	}
}

// ChildTime returns how long the request has waited for calls down the chain until now, also for one that hasn't
// ended. That says nothing about the backend server that made them.
func (c *Chain) ChildTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 {
		return c.childTime + now.Sub(c.childStart)
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
	matcher    *lineage.Matcher
	candidates []*Chain
	running    []lineage.RunningRequest
}

// maxCanceled is how many tokens of canceled requests are remembered.
const maxCanceled = 4096

// NewChains returns an empty table.
func NewChains() *Chains {
	return &Chains{byToken: map[string]*Chain{}, canceled: map[string]bool{}, matcher: lineage.NewMatcher()}
}

// Begin enters a request under the token and returns its chain.
func (t *Chains) Begin(running context.Context, token string, r *Request) *Chain {
	c := &Chain{
		Root:     r.Root,
		Depth:    r.Depth,
		Kind:     r.Kind,
		Started:  time.Now(),
		Deadline: r.Deadline,
		Running:  running,
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
	if c.Running.Err() != nil {
		t.rememberCanceled(token)
	}
}

func (t *Chains) rememberCanceled(token string) {
	t.canceled[token] = true
	t.canceledOrder = append(t.canceledOrder, token)
	if len(t.canceledOrder) > maxCanceled {
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
	t.candidates, t.running = t.candidates[:0], t.running[:0]
	for _, chain := range t.byToken {
		t.candidates = append(t.candidates, chain)
		t.running = append(t.running, chain.asRunning())
	}
	index, isCall := t.matcher.Match(now, c, t.running)
	if index == lineage.Unknown {
		return nil, isCall
	}
	t.candidates[index].markGuessed()
	return t.candidates[index], isCall
}

// IsCanceled reports whether the token belongs to a request that was canceled while it ran.
func (t *Chains) IsCanceled(token string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.canceled[token]
}
