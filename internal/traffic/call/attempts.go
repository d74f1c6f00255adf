package call

import "sync"

// AttemptAllowance is the attempt allowance that a request shares with all calls below it in the call tree. Each
// attempt in it is in exactly one state: left, lent to a call, or used. The attempts used below a root request
// therefore never exceed the allowance of the root request.
type AttemptAllowance struct {
	mu     sync.Mutex
	left   int
	lent   int
	used   int
	closed bool
}

// NewAttemptAllowance returns an allowance of the given number of attempts. A negative number counts as 0.
func NewAttemptAllowance(allowed int) *AttemptAllowance {
	return &AttemptAllowance{left: max(allowed, 0)}
}

// Take uses one attempt and reports whether one was left.
func (a *AttemptAllowance) Take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left == 0 {
		return false
	}
	a.left--
	a.used++
	return true
}

// Lend lends half of the attempts left, rounded up, to one call and returns their number. The rest stays for parallel
// calls, and for a retry if the reply that reports the attempts used by the call is lost.
func (a *AttemptAllowance) Lend() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	lent := (a.left + 1) / 2
	a.left -= lent
	a.lent += lent
	return lent
}

// Return takes back the unused attempts of those lent to a call. It does nothing after Close.
func (a *AttemptAllowance) Return(lent, used int) {
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

// Close ends the allowance and returns the number of attempts used. A call that has not ended counts as having used all
// attempts lent to it; attempts that it returns later are ignored.
func (a *AttemptAllowance) Close() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used += a.lent
	a.left, a.lent = 0, 0
	a.closed = true
	return a.used
}

// Left returns the number of attempts that are neither lent nor used.
func (a *AttemptAllowance) Left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.left
}
