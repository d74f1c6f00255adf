package flow

import "sync"

// openAttempts counts the attempts of idempotent requests that this node has received and not answered. Ended attempts
// are not remembered, because their sender may retry them.
type openAttempts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newOpenAttempts() *openAttempts {
	return &openAttempts{counts: map[string]int{}}
}

func (o *openAttempts) begin(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[id]++
}

func (o *openAttempts) end(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[id]--
	if o.counts[id] <= 0 {
		delete(o.counts, id)
	}
}

func (o *openAttempts) has(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[id] > 0
}
