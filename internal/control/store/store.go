// Package store is what the control plane needs of the platform's key-value service: conditional writes, leases and
// watches. An adapter implements Store; Follower keeps a copy of all keys under a prefix.
//
// # Usage
//
//	f := store.NewFollower(store.FollowerConfig{Store: s, Prefix: "members/", Changed: changed})
//	f.Run(ctx)
//
// A write that fails with anything but ErrConflict, ErrNoLease or ErrBusy may have taken effect, or may take effect later
// while its condition holds.
package store

import (
	"context"
	"errors"
	"time"
)

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the key's last change; 0 says that the key does not exist.
	Revision uint64
	// Lease ends the key; 0 for none.
	Lease uint64
}

// Event is one change of a key.
type Event struct {
	Item
	Deleted bool
}

// Snapshot is the answer to a read of several keys.
type Snapshot struct {
	Items []Item
	// Revision is the store's own, from which a watch goes on.
	Revision uint64
}

// Changes is the answer to a watch.
type Changes struct {
	Events   []Event
	Revision uint64
}

// Write replaces one key under the condition that its revision is the expected one.
type Write struct {
	Key   string
	Value []byte
	// Expected is 0 where the key must not exist.
	Expected uint64
	// Lease ends the key; 0 for none.
	Lease uint64
	// Delete removes the key in place of writing it.
	Delete bool
}

// The errors of a store.
var (
	// ErrConflict says that the write was refused, because the revision is another.
	ErrConflict = errors.New("revision is not the expected one")
	// ErrNoLease says that the lease has ended.
	ErrNoLease = errors.New("the lease has ended")
	// ErrCompacted says that the history after the revision is no longer there.
	ErrCompacted = errors.New("the history is no longer there")
	// ErrBusy says that the store did nothing, and may take the call later.
	ErrBusy = errors.New("the store refused the call")
	// ErrNotFound says that the key does not exist.
	ErrNotFound = errors.New("the key does not exist")
)

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key, or fails with ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List reads all keys with the prefix.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Watch waits for changes after the revision for at most the time. No change is no error.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Put carries out one write and returns the key's new revision, or fails with ErrConflict or ErrNoLease.
	Put(ctx context.Context, w Write) (uint64, error)
	// Grant returns a new lease.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew keeps a lease for its whole time from now, or fails with ErrNoLease.
	Renew(ctx context.Context, lease uint64) error
}
