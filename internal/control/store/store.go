// Package store defines what the control plane needs of the platform's key-value service: conditional writes, leases
// and watches. Adapters implement Store. A Follower lists and watches all keys under a prefix.
//
// # Usage
//
//	f := store.NewFollower(store.FollowerConfig{
//		Store: s, Prefix: "members/", WatchTimeout: 30 * time.Second,
//		OnList: onList, OnChange: onChange, OnLost: onLost, OnRecovered: onRecovered,
//	})
//	f.Run(ctx)
//
// A store may be restored from a copy. Its era then rises, and revisions and leases of an earlier era mean nothing any
// more: a Follower begins anew with a list.
//
// A write that fails with any error other than ErrConflict, ErrNoLease or ErrBusy may have taken effect, or may still
// take effect later while its condition holds.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the key's last change; 0 means that the key does not exist.
	Revision uint64
	// Lease is the lease whose end deletes the key; 0 for none.
	Lease uint64
}

// Event is a change of one key.
type Event struct {
	Item
	Deleted bool
}

// Snapshot is the result of a read of several keys.
type Snapshot struct {
	Items []Item
	// Revision is the store's revision at the time of the read. A watch continues after it.
	Revision uint64
	// Era is the era of the store at the time of the read; see Store.Era.
	Era uint64
}

// Changes is the result of a watch.
type Changes struct {
	Events   []Event
	Revision uint64
	Era      uint64
}

// Write replaces or deletes one key if the key's revision is the expected one.
type Write struct {
	Key   string
	Value []byte
	// Expected is the expected revision; 0 means that the key must not exist.
	Expected uint64
	// Lease is the lease whose end deletes the key; 0 for none.
	Lease uint64
	// Delete removes the key instead of writing it.
	Delete bool
}

// Errors that a Store returns.
var (
	// ErrConflict means that a write was refused because the key has another revision.
	ErrConflict = errors.New("revision is not the expected one")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("the lease has ended")
	// ErrCompacted means that the store no longer has the history after the revision.
	ErrCompacted = errors.New("the history after the revision has been compacted")
	// ErrBusy means that the store did nothing; the call may succeed later.
	ErrBusy = errors.New("the store refused the call")
	// ErrOldEra means that a response comes from before a restore of the store that is known. A write may have been lost.
	ErrOldEra = errors.New("the response is from before the store was restored")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("the key does not exist")
)

// ConflictError is an ErrConflict that tells what the store holds under the key.
type ConflictError struct {
	// Revision is the revision of the key; 0 means that the key does not exist.
	Revision uint64
	// Value is the value of the key.
	Value []byte
}

// Error returns the text of the error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: it is %d", ErrConflict, e.Revision)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error {
	return ErrConflict
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key. It returns ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// List reads all keys with the prefix.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// ListStale is like List, but the result may be some seconds old. It costs the store less.
	ListStale(ctx context.Context, prefix string) (Snapshot, error)
	// Watch waits up to the given time for changes after the revision. It returns no error if nothing changed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Put carries out one write and returns the key's new revision. It returns an error that wraps ErrConflict, if possible
	// a *ConflictError, or ErrNoLease if the store refused the write.
	Put(ctx context.Context, w Write) (uint64, error)
	// Grant returns a new lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// Renew extends a lease to its full time to live, counted from the call. It returns ErrNoLease if the lease has
	// ended.
	Renew(ctx context.Context, lease uint64) error
	// Era returns the newest era that a response has named, and a context that ends when a response names a newer one.
	// The era rises each time that the store is restored from a copy. What was written since the copy is gone then, and
	// revisions and leases are given out again.
	Era() (era uint64, ended context.Context)
}
