package store

import (
	"slices"
	"sync"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
)

// maxRecordedWrites is how many writes are kept for Writes.
const maxRecordedWrites = 256

// Write is one compare-and-swap that the stand-in carried out or refused.
type Write struct {
	platform.Swap

	// Revision is that of the entry written; 0 where the swap was refused.
	Revision uint64
	// Held says that the swap was held back before it was judged.
	Held bool
}

// Refused reports whether the swap changed nothing.
func (w Write) Refused() bool {
	return w.Revision == 0
}

// Writes returns the latest swaps under the key, the oldest first.
func (s *Store) Writes(key string) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.writes), func(w Write) bool { return w.Key != key })
}

// recordWrite keeps a swap. The caller holds the lock.
func (s *Store) recordWrite(w Write) {
	s.writes = append(s.writes, w)
	s.writes = s.writes[max(0, len(s.writes)-maxRecordedWrites):]
}

// Hold keeps one swap back on its way to the store, as a network does that delivers it late.
type Hold struct {
	// Arrived is closed when the swap is there.
	Arrived  chan struct{}
	released chan struct{}
	release  sync.Once
}

// Release lets the swap go on, also where whoever sent it has given it up.
func (h *Hold) Release() {
	h.release.Do(func() { close(h.released) })
}

// HoldNext holds back the next swap of the key, and only that one, until the hold is released.
func (s *Store) HoldNext(key string) *Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := &Hold{Arrived: make(chan struct{}), released: make(chan struct{})}
	s.holds[key] = h
	return h
}

// awaitHold waits where the key's next swap is held, and reports whether it was.
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
