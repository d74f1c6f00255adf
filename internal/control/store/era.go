package store

import (
	"context"
	"sync"
)

// EraTracker holds the newest era that the responses of a store have named. The era of a store rises each time that it is
// restored from a copy. Revisions and leases of different eras have nothing to do with each other.
type EraTracker struct {
	mu     sync.Mutex
	number uint64
	// ended is done when a response names a newer era.
	ended context.Context
	end   context.CancelFunc
}

// NewEraTracker returns a tracker that has seen no response.
func NewEraTracker() *EraTracker {
	t := &EraTracker{}
	t.ended, t.end = context.WithCancel(context.Background())
	return t
}

// Observe records the era of a response. It returns ErrOldEra if a newer one is known: the response then comes from before
// the restore.
func (t *EraTracker) Observe(era uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case era < t.number:
		return ErrOldEra
	case era > t.number:
		t.number = era
		t.end()
		t.ended, t.end = context.WithCancel(context.Background())
	}
	return nil
}

// Current returns the newest known era, and a context that ends when a newer one is known.
func (t *EraTracker) Current() (era uint64, ended context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.number, t.ended
}
