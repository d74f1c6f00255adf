// Package store is a stand-in for the platform's key-value service: compare-and-swap, leases and watches, with the
// service's faults: outages, slow answers, and answers lost after the write took effect.
//
// # Usage
//
//	s := store.New()
//	server := &http.Server{Handler: s.Handler()}
//	s.SetFaults(store.Faults{Down: true})
package store

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
)

// Faults are what the stand-in does wrong.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay holds back every answer.
	Delay time.Duration `json:"delay"`
	// LoseAnswers carries out writes and then breaks the connection.
	LoseAnswers bool `json:"lose_answers"`
}

// Counts are the calls that the stand-in took.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Store is the key-value service in memory.
type Store struct {
	mu       sync.Mutex
	entries  map[string]stored
	deleted  map[string]uint64
	leases   map[string]time.Time
	revision uint64
	nextID   uint64
	changed  chan struct{}
	faults   Faults
	counts   Counts
}

type stored struct {
	entry platform.Entry
	lease string
}

// New returns an empty store.
func New() *Store {
	return &Store{
		entries: map[string]stored{},
		deleted: map[string]uint64{},
		leases:  map[string]time.Time{},
		changed: make(chan struct{}),
	}
}

// SetFaults changes what goes wrong from now on.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the calls taken so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) get(key string) (platform.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(time.Now())
	found, ok := s.entries[key]
	return found.entry, ok
}

func (s *Store) swap(w platform.Swap) (platform.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(time.Now())
	if s.entries[w.Key].entry.Revision != w.Expected {
		return platform.Entry{}, false
	}
	if _, alive := s.leases[w.Lease]; w.Lease != "" && !alive {
		return platform.Entry{}, false
	}
	s.revision++
	entry := platform.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
	s.entries[w.Key] = stored{entry: entry, lease: w.Lease}
	delete(s.deleted, w.Key)
	s.wake()
	return entry, true
}

// since returns the changes under the prefix after the revision, and a channel that closes with the next change.
func (s *Store) since(prefix string, after uint64) (platform.Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lapse(time.Now())
	changes := platform.Changes{Revision: s.revision}
	for key, found := range s.entries {
		if strings.HasPrefix(key, prefix) && found.entry.Revision > after {
			changes.Entries = append(changes.Entries, found.entry)
		}
	}
	for key, revision := range s.deleted {
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
	s.lapse(time.Now())
	if _, alive := s.leases[lease.ID]; !alive {
		return false
	}
	s.leases[lease.ID] = time.Now().Add(lease.TTL)
	return true
}

// lapse removes the leases that are over and the keys under them.
func (s *Store) lapse(now time.Time) {
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
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
