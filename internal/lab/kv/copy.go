package kv

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
)

// Copy is a copy of the store at one time.
type Copy struct {
	revision uint64
	items    map[string]store.Item
	history  []store.Event
	leases   map[uint64]lease
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), leases: map[uint64]lease{}}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the content of the store by the copy. The revision goes back, and revisions and leases since the copy
// are given out again. Leases of the copy start anew. Watches that wait are not told. A watch after a revision that the
// store does not have fails with store.ErrCompacted.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.leases = map[uint64]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
	}
}

// RestoreWithoutLeases is like Restore, but no lease of the copy is left, nor any key under one.
func (s *Store) RestoreWithoutLeases(c Copy) {
	c.items, c.leases = maps.Clone(c.items), nil
	maps.DeleteFunc(c.items, func(_ string, item store.Item) bool { return item.Lease != 0 })
	s.Restore(c)
}

// Skip raises the revision by the number, as changes of other keys do.
func (s *Store) Skip(changes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += changes
}
