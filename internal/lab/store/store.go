// Package store simulates the platform's key-value service: compare-and-swap, leases and watches, and the faults of the
// service: outages, slow responses, stale reads, restored older content, and responses lost after the write took
// effect.
//
// # Usage
//
//	s := store.New()
//	server := &http.Server{Handler: s.Handler()}
//	s.SetFaults(store.Faults{Down: true})
package store

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
)

// Faults selects the faults that the store injects.
type Faults struct {
	// Down fails every call.
	Down bool `json:"down"`
	// Delay delays every response.
	Delay time.Duration `json:"delay"`
	// LoseAnswers carries out writes and then closes the connection without a response.
	LoseAnswers bool `json:"lose_answers"`
	// LoseWrites closes the connection before the write is carried out.
	LoseWrites bool `json:"lose_writes"`
	// Lag is the age of the content that reads, lists and watches return.
	Lag time.Duration `json:"lag"`
}

// Counts are the numbers of calls that the store received.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Store is an in-memory key-value service.
type Store struct {
	mu       sync.Mutex
	entries  map[string]storedEntry
	deleted  map[string]uint64
	leases   map[string]time.Time
	revision uint64
	nextID   uint64
	changed  chan struct{}
	faults   Faults
	counts   Counts
	history  []Snapshot
	// writes are the most recent swaps. holds are the pending holds by key.
	writes []Write
	holds  map[string]*Hold
}

// Snapshot is the content of a store at one moment.
type Snapshot struct {
	at       time.Time
	entries  map[string]storedEntry
	deleted  map[string]uint64
	revision uint64
}

// storedEntry is an entry with the ID of its lease, or "" if it has none.
type storedEntry struct {
	entry platform.Entry
	lease string
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries: map[string]storedEntry{},
		deleted: map[string]uint64{},
		leases:  map[string]time.Time{},
		changed: make(chan struct{}),
		holds:   map[string]*Hold{},
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults that are injected now.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot returns the current content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshotAt(time.Now())
}

// Restore replaces the content by an older snapshot, as when a platform is restored from a backup. Leases are not
// rolled back, and keys whose lease has expired are not restored.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.deleted, s.revision = maps.Clone(c.entries), maps.Clone(c.deleted), c.revision
	maps.DeleteFunc(s.entries, func(_ string, found storedEntry) bool {
		_, alive := s.leases[found.lease]
		return found.lease != "" && !alive
	})
	s.recordChange()
}

// WithAdvancedRevision returns the snapshot with the revision increased by the given number of writes, which leave no
// other trace. Restoring it hides from clients that the revision went back.
func (c Snapshot) WithAdvancedRevision(writes uint64) Snapshot {
	c.revision += writes
	return c
}

func (s *Store) snapshotAt(now time.Time) Snapshot {
	return Snapshot{at: now, entries: maps.Clone(s.entries), deleted: maps.Clone(s.deleted), revision: s.revision}
}

// visible returns the content that reads see: the current content, or an older snapshot under the lag fault.
func (s *Store) visible(now time.Time) Snapshot {
	newest := Snapshot{entries: s.entries, deleted: s.deleted, revision: s.revision}
	if s.faults.Lag <= 0 {
		return newest
	}
	lagged := Snapshot{}
	for _, c := range s.history {
		if now.Sub(c.at) >= s.faults.Lag {
			lagged = c
		}
	}
	return lagged
}

func (s *Store) get(key string) (platform.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	found, ok := s.visible(time.Now()).entries[key]
	return found.entry, ok
}

// swap carries out a write and records it.
func (s *Store) swap(w platform.Swap, held bool) (platform.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	entry, ok := s.compareAndSwap(w)
	s.recordWrite(Write{Swap: w, Revision: entry.Revision, Held: held})
	return entry, ok
}

func (s *Store) compareAndSwap(w platform.Swap) (platform.Entry, bool) {
	if s.entries[w.Key].entry.Revision != w.Expected {
		return platform.Entry{}, false
	}
	if _, alive := s.leases[w.Lease]; w.Lease != "" && !alive {
		return platform.Entry{}, false
	}
	s.revision++
	entry := platform.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
	s.entries[w.Key] = storedEntry{entry: entry, lease: w.Lease}
	delete(s.deleted, w.Key)
	s.recordChange()
	return entry, true
}

// changesAfter returns the changes under the prefix after the revision, and a channel that is closed by the next
// change.
func (s *Store) changesAfter(prefix string, after uint64) (platform.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	snapshot := s.visible(time.Now())
	changes := platform.Changes{Revision: snapshot.revision}
	for key, found := range snapshot.entries {
		if strings.HasPrefix(key, prefix) && found.entry.Revision > after {
			changes.Entries = append(changes.Entries, found.entry)
		}
	}
	for key, revision := range snapshot.deleted {
		if strings.HasPrefix(key, prefix) && revision > after {
			changes.Entries = append(changes.Entries, platform.Entry{Key: key, Revision: revision, Deleted: true})
		}
	}
	return changes, s.changed
}

func (s *Store) grant(ttl time.Duration) platform.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := fmt.Sprintf("lease-%d", s.nextID)
	s.leases[id] = time.Now().Add(ttl)
	return platform.Lease{ID: id, TTL: ttl}
}

func (s *Store) renew(lease platform.Lease) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	if _, alive := s.leases[lease.ID]; !alive {
		return false
	}
	s.leases[lease.ID] = time.Now().Add(lease.TTL)
	return true
}

// expireLeases removes expired leases and the keys attached to them.
func (s *Store) expireLeases(now time.Time) {
	for id, until := range s.leases {
		if now.Before(until) {
			continue
		}
		delete(s.leases, id)
		for key, found := range s.entries {
			if found.lease == id {
				s.remove(key)
			}
		}
	}
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.entries, key)
	s.deleted[key] = s.revision
	s.recordChange()
}

// maxHistory is the number of older snapshots kept for the lag fault.
const maxHistory = 256

// recordChange adds the current content to the history and wakes the waiting watches.
func (s *Store) recordChange() {
	s.history = append(s.history, s.snapshotAt(time.Now()))
	s.history = s.history[max(0, len(s.history)-maxHistory):]
	close(s.changed)
	s.changed = make(chan struct{})
}
