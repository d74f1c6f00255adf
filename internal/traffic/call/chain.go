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

	mu           sync.Mutex
	attemptsLeft int
	attemptsUsed int
	children     int
	childStart   time.Time
	childTime    time.Duration
}

// TakeAttempts lends the attempts that are left to one call down the chain.
func (c *Chain) TakeAttempts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	lent := c.attemptsLeft
	c.attemptsLeft = 0
	return lent
}

// ReturnAttempts gives back what a call did not use of the attempts lent to it.
func (c *Chain) ReturnAttempts(lent, used int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	used = min(used, lent)
	c.attemptsLeft += lent - used
	c.attemptsUsed += used
}

// AttemptsUsed returns how many attempts the calls below have spent.
func (c *Chain) AttemptsUsed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptsUsed
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
}

// NewChains returns an empty table.
func NewChains() *Chains {
	return &Chains{byToken: map[string]*Chain{}}
}

// Begin enters a request under the token and returns its chain.
func (t *Chains) Begin(running context.Context, token string, r *Request) *Chain {
	c := &Chain{Root: r.Root, Depth: r.Depth, Deadline: r.Deadline, Running: running, attemptsLeft: r.AttemptsLeft}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byToken[token] = c
	return c
}

// End removes the request under the token.
func (t *Chains) End(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byToken, token)
}

// Find returns the chain under the token, or nil.
func (t *Chains) Find(token string) *Chain {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byToken[token]
}
