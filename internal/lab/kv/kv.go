// Package kv simulates the platform's store for tests that control it step by step. It implements store.Store in
// memory, with the faults that the platform's documentation allows: leases that expire or pause during an outage,
// watches that report no changes or are interrupted, dropped history, writes whose response is lost or that are carried
// out late, and calls refused for single nodes.
//
// # Usage
//
//	s := kv.New()
//	one, two := s.ForNode("node_1"), s.ForNode("node_2")
//	s.SetFaults(kv.Faults{RefuseNodes: map[string]bool{"node_2": true}})
//	s.ForcePut("op/config", value)
package kv

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
)

// Faults selects the faults that the store injects until they are replaced.
type Faults struct {
	// Down makes every call fail. ExpireLeases lets leases expire during the outage.
	Down         bool
	ExpireLeases bool
	// RefuseNodes fails the calls of single nodes.
	RefuseNodes map[string]bool
	// RefuseLatest fails all calls but ListStale.
	RefuseLatest bool
	// SilentWatches keeps watches of single nodes open without ever answering them. It holds for watches that wait, too.
	SilentWatches map[string]bool
	// StallWatches makes watches report no changes, not even earlier ones.
	StallWatches bool
	// LoseAnswers carries writes out and reports them as failed.
	LoseAnswers bool
	// StaleLists makes ListStale return the items as they were when the fault was set.
	StaleLists bool
	// LateWrites fails writes and carries them out when CompleteLateWrites is called, if their condition still holds
	// then.
	LateWrites bool
}

// errUnavailable is the error of calls that fail because of a fault.
var errUnavailable = errors.New("store unavailable")

// lease is one granted lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory store.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	revision uint64
	// era counts the restores from a copy.
	era     uint64
	items   map[string]store.Item
	history []store.Event
	// compacted is the revision up to which the history was dropped.
	compacted  uint64
	leases     map[uint64]*lease
	lateWrites []store.Write
	// stale holds the items that ListStale returns while the fault StaleLists is set.
	stale store.Snapshot
	// changed is closed by each change, and cut by each call of Compact.
	changed     chan struct{}
	interrupted chan struct{}
	calls       int
	staleLists  int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision:    1,
		era:         1,
		items:       map[string]store.Item{},
		leases:      map[uint64]*lease{},
		changed:     make(chan struct{}),
		interrupted: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down && !s.faults.ExpireLeases {
		s.resumeLeases()
	}
	if f.StaleLists && !s.faults.StaleLists {
		s.stale = s.snapshot()
	}
	s.faults = f
}

// resumeLeases restarts all leases with their full TTL after an outage in which they were paused.
func (s *Store) resumeLeases() {
	for _, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
	}
}

// Compact drops the history and interrupts all watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	close(s.interrupted)
	s.interrupted = make(chan struct{})
}

// CompleteLateWrites carries out the writes that the LateWrites fault delayed.
func (s *Store) CompleteLateWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.lateWrites {
		_, _ = s.put(w)
	}
	s.lateWrites = nil
}

// ForcePut writes a key without a condition, as an operator of the platform can.
func (s *Store) ForcePut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.put(store.Write{Key: key, Value: value, Expected: s.items[key].Revision})
}

// Revoke deletes a key without ending its lease.
func (s *Store) Revoke(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Calls returns the number of calls made so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// StaleLists returns the number of calls of ListStale made so far, which Calls counts too.
func (s *Store) StaleLists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.staleLists
}

// Item returns the item of the key, with revision 0 if the key does not exist.
func (s *Store) Item(key string) store.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return s.items[key]
}

// ForNode returns the store as a client on the node sees it.
func (s *Store) ForNode(node string) store.Store {
	return &client{store: s, node: node, eras: store.NewEraTracker()}
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
	if held := s.items[w.Key]; held.Revision != w.Expected {
		return 0, &store.ConflictError{Revision: held.Revision, Value: slices.Clone(held.Value)}
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

// client is the store as seen by one node.
type client struct {
	store *Store
	node  string
	eras  *store.EraTracker
}

// Era returns the newest era that a response has named, and a context that ends when a response names a newer one.
func (c *client) Era() (uint64, context.Context) {
	return c.eras.Current()
}

// beginCall locks the store and counts a call. If a fault makes the call fail, it unlocks the store and returns the
// error.
func (c *client) beginCall() error {
	return c.begin(func(f *Faults) bool { return f.Down || f.RefuseNodes[c.node] || f.RefuseLatest })
}

// beginStaleCall is like beginCall, for a call that may return what is some seconds old.
func (c *client) beginStaleCall() error {
	return c.begin(func(f *Faults) bool { return f.Down || f.RefuseNodes[c.node] })
}

func (c *client) begin(isRefused func(*Faults) bool) error {
	c.store.mu.Lock()
	c.store.calls++
	c.store.expireLeases()
	if isRefused(&c.store.faults) {
		c.store.mu.Unlock()
		return errUnavailable
	}
	_ = c.eras.Observe(c.store.era) // eras only rise
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
	return withPrefix(c.store.snapshot(), prefix), nil
}

// ListStale reads all keys with the prefix, as they were some time ago if the fault StaleLists is set.
func (c *client) ListStale(_ context.Context, prefix string) (store.Snapshot, error) {
	c.store.countStaleList()
	if err := c.beginStaleCall(); err != nil {
		return store.Snapshot{}, err
	}
	defer c.store.mu.Unlock()
	if c.store.faults.StaleLists {
		return withPrefix(c.store.stale, prefix), nil
	}
	return withPrefix(c.store.snapshot(), prefix), nil
}

func (s *Store) countStaleList() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleLists++
}

// snapshot returns all items.
func (s *Store) snapshot() store.Snapshot {
	return store.Snapshot{Items: slices.Collect(maps.Values(s.items)), Revision: s.revision, Era: s.era}
}

// withPrefix returns the items of the snapshot whose keys have the prefix.
func withPrefix(s store.Snapshot, prefix string) store.Snapshot {
	var items []store.Item
	for _, item := range s.Items {
		if strings.HasPrefix(item.Key, prefix) {
			items = append(items, item)
		}
	}
	s.Items = items
	return s
}

// Watch waits for changes. A watch from before the compacted revision waits for the next change and then fails with
// store.ErrCompacted. A watch after a revision that the store does not have fails with it at once.
func (c *client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := c.beginCall(); err != nil {
		return store.Changes{}, err
	}
	defer c.store.mu.Unlock()
	for {
		if c.store.faults.SilentWatches[c.node] {
			c.store.mu.Unlock()
			<-ctx.Done()
			c.store.mu.Lock()
			return store.Changes{}, ctx.Err()
		}
		changes, err := c.changes(prefix, after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		changed, interrupted := c.store.changed, c.store.interrupted
		c.store.mu.Unlock()
		var endErr error
		select {
		case <-changed:
		case <-interrupted:
			endErr = errUnavailable
		case <-ctx.Done():
			endErr = ctx.Err()
		case <-timer.C:
			c.store.mu.Lock()
			if c.store.faults.SilentWatches[c.node] {
				continue
			}
			return c.empty(), nil
		}
		c.store.mu.Lock()
		if endErr != nil {
			return store.Changes{}, endErr
		}
	}
}

// changes returns the changes under the prefix after the revision.
func (c *client) changes(prefix string, after uint64) (store.Changes, error) {
	s := c.store
	_ = c.eras.Observe(s.era) // eras only rise
	if s.faults.StallWatches {
		return store.Changes{Era: s.era}, nil
	}
	if after < s.compacted && len(s.history) > 0 || after > s.revision {
		return store.Changes{}, store.ErrCompacted
	}
	changes := c.empty()
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, nil
}

// empty returns the response to a watch without changes.
func (c *client) empty() store.Changes {
	_ = c.eras.Observe(c.store.era) // eras only rise
	return store.Changes{Revision: c.store.revision, Era: c.store.era}
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

// Grant returns the ID of a new lease.
func (c *client) Grant(_ context.Context, ttl time.Duration) (uint64, error) {
	if err := c.beginCall(); err != nil {
		return 0, err
	}
	defer c.store.mu.Unlock()
	c.store.revision++
	c.store.leases[c.store.revision] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return c.store.revision, nil
}

// Renew extends a lease by its TTL.
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
