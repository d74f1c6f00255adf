package store

import (
	"slices"
	"sync"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
)

// maxRecordedWrites is the number of writes kept for Writes.
const maxRecordedWrites = 256

// Write is a compare-and-swap that the store received, whether it succeeded or not.
type Write struct {
	platform.Swap

	// Revision is the revision of the written entry; 0 if the swap was refused.
	Revision uint64
	// Held is whether the swap was held before it was evaluated.
	Held bool
}

// Refused reports whether the swap was refused and changed nothing.
func (w Write) Refused() bool {
	return w.Revision == 0
}

// Writes returns the most recent swaps of the key, oldest first.
func (s *Store) Writes(key string) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.writes), func(w Write) bool { return w.Key != key })
}

// recordWrite records a swap. The caller must hold the lock.
func (s *Store) recordWrite(w Write) {
	s.writes = append(s.writes, w)
	s.writes = s.writes[max(0, len(s.writes)-maxRecordedWrites):]
}

// Hold delays one swap on its way to the store, as a network does that delivers it late.
type Hold struct {
	// Arrived is closed when the swap reaches the store.
	Arrived  chan struct{}
	released chan struct{}
	release  sync.Once
}

// Release lets the swap proceed, even if its sender has given up on it.
func (h *Hold) Release() {
	h.release.Do(func() { close(h.released) })
}

// HoldNext holds the next swap of the key, and only that swap, until the hold is released.
func (s *Store) HoldNext(key string) *Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &Hold{Arrived: make(chan struct{}), released: make(chan struct{})}
	s.holds[key] = h
	return h
}

// awaitHold waits for the release of the key's hold, if there is a hold, and reports whether there was a hold.
func (s *Store) awaitHold(key string) bool {
	s.mu.Lock()
	h, found := s.holds[key]
	delete(s.holds, key)
	s.mu.Unlock()
	if !found {
		return false
	}
	close(h.Arrived)
	<-h.released
	return true
}
