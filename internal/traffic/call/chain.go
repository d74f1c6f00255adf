package call

import (
	"context"
	"sync"
	"time"
)

// Chain is a request that runs on the local backend server. Calls that the backend server makes for it inherit its
// root, its deadline and its attempts, whatever their headers say.
type Chain struct {
	Root     Root
	Depth    int
	Deadline time.Time
	// Running ends with the request, so that its calls end too.
	Running context.Context

	// Attempts are what the calls down the chain may spend together.
	Attempts *Attempts

	mu         sync.Mutex
	failure    Reason
	children   int
	childStart time.Time
	childTime  time.Duration
}

// NoteFailure remembers that a call down the chain failed.
func (c *Chain) NoteFailure(reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failure = reason
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
}

// BeginChild marks the start of a call down the chain.
func (c *Chain) BeginChild(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.children == 0 {
		c.childStart = now
	}
	c.children++
}

// EndChild marks the end of a call down the chain.
func (c *Chain) EndChild(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.children--
	if c.children == 0 {
		c.childTime += now.Sub(c.childStart)
	}
}

// ChildTime returns how long the request has waited for calls down the chain until now, also for one that hasn't
// ended. That says nothing about the backend server that made them.
func (c *Chain) ChildTime(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.children > 0 {
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
}

// maxCanceled is how many tokens of canceled requests are remembered.
const maxCanceled = 4096

// NewChains returns an empty table.
func NewChains() *Chains {
	return &Chains{byToken: map[string]*Chain{}, canceled: map[string]bool{}}
}

// Begin enters a request under the token and returns its chain.
func (t *Chains) Begin(running context.Context, token string, r *Request) *Chain {
	c := &Chain{
		Root:     r.Root,
		Depth:    r.Depth,
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

// deadlineSlack is by how much the deadline of a call may differ from that of its request: callers give whole
// milliseconds, and messages take time.
const deadlineSlack = 4 * time.Millisecond

// ByDeadline returns a running request that a call with the deadline may have been made for, or nil. A call without a
// token expires with its request, so that its deadline tells most requests apart; it proves nothing.
func (t *Chains) ByDeadline(now, deadline time.Time) *Chain {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var nearest *Chain
	least := deadlineSlack
	for _, c := range t.byToken {
		difference := c.Deadline.Sub(deadline).Abs()
		if difference <= least && now.Before(c.Deadline) {
			nearest, least = c, difference
		}
	}
	return nearest
}

// IsCanceled reports whether the token belongs to a request that was canceled while it ran.
func (t *Chains) IsCanceled(token string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.canceled[token]
}
