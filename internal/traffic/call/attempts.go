package call

import "sync"

// Attempts is the pool of further attempts that one request may spend, together with all calls below it. Every unit
// is in exactly one place: left in the pool, lent to a call, or used. So the attempts spent below a root request
// never exceed what its first pool held.
type Attempts struct {
	mu     sync.Mutex
	left   int
	lent   int
	used   int
	closed bool
}

// NewAttempts returns a pool of so many attempts.
func NewAttempts(allowed int) *Attempts {
	return &Attempts{left: max(allowed, 0)}
}

// Take spends one attempt and reports whether there was one.
func (a *Attempts) Take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	a.used++
	return true
}

// Lend hands the larger half of what is left to one call. The rest stays for calls in parallel, and for another
// attempt where the reply that would tell what the call has used is lost.
func (a *Attempts) Lend() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	lent := (a.left + 1) / 2
	a.left -= lent
	a.lent += lent
	return lent
}

// Return takes back what a call did not use of the attempts lent to it.
func (a *Attempts) Return(lent, used int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	used = min(max(used, 0), lent)
	a.lent -= lent
	a.left += lent - used
	a.used += used
}

// Close empties the pool and returns how many attempts were spent. Calls that have not ended count as if they had
// spent all that was lent to them, and what they return later is void.
func (a *Attempts) Close() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used += a.lent
	a.left, a.lent = 0, 0
	a.closed = true
	return a.used
}

// Left returns how many attempts are neither lent nor used.
func (a *Attempts) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}
