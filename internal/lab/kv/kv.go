// Package kv is a stand-in for the platform's store that a test drives by hand. It implements store.Store in memory, with
// the misbehaviour that the platform's page allows: leases that lapse or pause in an outage, watches that hear nothing
// and are cut, a history that is dropped, writes whose answer is lost or that are done late, and single callers that are
// refused.
//
// # Usage
//
//	s := kv.New()
//	one, two := s.As("node_1"), s.As("node_2")
//	s.SetFaults(kv.Faults{RefuseNodes: map[string]bool{"node_2": true}})
//	s.Operator("op/config", value)
package kv

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
)

// Faults are in force until they are set anew.
type Faults struct {
	// Down makes every call fail, and LapseLeases lets leases run out meanwhile.
	Down         bool
	ExpireLeases bool
	// RefuseNodes fails the calls of single nodes.
	RefuseNodes map[string]bool
	// StallWatches makes watches hear nothing, also of what happened before.
	StallWatches bool
	// LoseAnswers carries writes out and fails them.
	LoseAnswers bool
	// LateWrites fails writes and carries them out when Settle is called, if their condition still holds.
	LateWrites bool
}

// errUnavailable is how calls fail.
var errUnavailable = errors.New("no answer")

// lease is one grant.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the store.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	revision uint64
	items    map[string]store.Item
	history  []store.Event
	// compacted is the revision up to which the history is gone.
	compacted  uint64
	leases     map[uint64]*lease
	lateWrites []store.Write
	// changed is closed with each change, and cut with each Cut.
	changed chan struct{}
	cut     chan struct{}
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1,
		items:    map[string]store.Item{},
		leases:   map[uint64]*lease{},
		changed:  make(chan struct{}),
		cut:      make(chan struct{}),
	}
}

// SetFaults puts faults into force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down && !s.faults.ExpireLeases {
		s.resumeLeases()
	}
	s.faults = f
}

// resumeLeases gives leases their whole time after an outage in which they paused.
func (s *Store) resumeLeases() {
	for _, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
	}
}

// Compact drops the history and cuts all watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	close(s.cut)
	s.cut = make(chan struct{})
}

// CompleteLateWrites carries out the writes that were held back.
func (s *Store) CompleteLateWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.lateWrites {
		_, _ = s.put(w)
	}
	s.lateWrites = nil
}

// ForcePut writes a key without a condition.
func (s *Store) ForcePut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.put(store.Write{Key: key, Value: value, Expected: s.items[key].Revision})
}

// Revoke deletes a key though its lease goes on.
func (s *Store) Revoke(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Item returns a key, of revision 0 where it does not exist.
func (s *Store) Item(key string) store.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.items[key]
}

// ForNode returns the store as one node sees it.
func (s *Store) ForNode(node string) store.Store {
	return &client{store: s, node: node}
}

func (s *Store) expireLeases() {
	if s.faults.Down && !s.faults.ExpireLeases {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		for key, item := range s.items {
			if item.Lease == id {
				s.remove(key)
			}
		}
	}
}

func (s *Store) put(w store.Write) (uint64, error) {
	if s.items[w.Key].Revision != w.Expected {
		return 0, store.ErrConflict
	}
	if _, found := s.leases[w.Lease]; w.Lease != 0 && !found {
		return 0, store.ErrNoLease
	}
	if w.Delete {
		s.remove(w.Key)
		return s.revision, nil
	}
	s.revision++
	item := store.Item{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.revision, Lease: w.Lease}
	s.items[w.Key] = item
	s.recordEvent(store.Event{Item: item})
	return s.revision, nil
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.recordEvent(store.Event{Item: store.Item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) recordEvent(e store.Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// client is the store as one node sees it.
type client struct {
	store *Store
	node  string
}

// beginCall counts a call and reports how it fails. The store stays locked where it doesn't.
func (c *client) beginCall() error {
	c.store.mu.Lock()
	c.store.calls++
	c.store.expireLeases()
	if c.store.faults.Down || c.store.faults.RefuseNodes[c.node] {
		c.store.mu.Unlock()
		return errUnavailable
	}
	return nil
}

// Get reads one key.
func (c *client) Get(_ context.Context, key string) (store.Item, error) {
	if err := c.beginCall(); err != nil {
		return store.Item{}, err
	}
	defer c.store.mu.Unlock()
	item, found := c.store.items[key]
	if !found {
		return store.Item{}, store.ErrNotFound
	}
	return item, nil
}

// List reads all keys with the prefix.
func (c *client) List(_ context.Context, prefix string) (store.Snapshot, error) {
	if err := c.beginCall(); err != nil {
		return store.Snapshot{}, err
	}
	defer c.store.mu.Unlock()
	snapshot := store.Snapshot{Revision: c.store.revision}
	for key, item := range c.store.items {
		if strings.HasPrefix(key, prefix) {
			snapshot.Items = append(snapshot.Items, item)
		}
	}
	return snapshot, nil
}

// Watch waits for changes. One from before the dropped history hears nothing until something changes.
func (c *client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := c.beginCall(); err != nil {
		return store.Changes{}, err
	}
	defer c.store.mu.Unlock()
	for {
		changes, err := c.changes(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		changed, cut := c.store.changed, c.store.cut
		c.store.mu.Unlock()
		var endErr error
		select {
		case <-changed:
		case <-cut:
			endErr = errUnavailable
		case <-ctx.Done():
			endErr = ctx.Err()
		case <-timer.C:
			c.store.mu.Lock()
			return store.Changes{Revision: c.store.revision}, nil
		}
		c.store.mu.Lock()
		if endErr != nil {
			return store.Changes{}, endErr
		}
	}
}

// changes returns what a watch after the revision has to tell now.
func (c *client) changes(prefix string, after uint64) (store.Changes, error) {
	s := c.store
	if s.faults.StallWatches {
		return store.Changes{}, nil
	}
	if after < s.compacted && len(s.history) > 0 {
		return store.Changes{}, store.ErrCompacted
	}
	changes := store.Changes{Revision: s.revision}
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, nil
}

// Put carries out one write.
func (c *client) Put(_ context.Context, w store.Write) (uint64, error) {
	if err := c.beginCall(); err != nil {
		return 0, err
	}
	defer c.store.mu.Unlock()
	if c.store.faults.LateWrites {
		c.store.lateWrites = append(c.store.lateWrites, w)
		return 0, errUnavailable
	}
	revision, err := c.store.put(w)
	if c.store.faults.LoseAnswers {
		return 0, errUnavailable
	}
	return revision, err
}

// Grant returns a new lease.
func (c *client) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	if err := c.beginCall(); err != nil {
		return 0, err
	}
	defer c.store.mu.Unlock()
	c.store.revision++
	c.store.leases[c.store.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return c.store.revision, nil
}

// Renew keeps a lease.
func (c *client) Renew(_ context.Context, id uint64) error {
	if err := c.beginCall(); err != nil {
		return err
	}
	defer c.store.mu.Unlock()
	l, found := c.store.leases[id]
	if !found {
		return store.ErrNoLease
	}
	l.expires = time.Now().Add(l.ttl)
	return nil
}
