package store

import (
	"context"
	"errors"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// FollowerConfig sets a Follower up.
type FollowerConfig struct {
	Store  Store
	Prefix string
	// Wait is how long one watch waits.
	Wait time.Duration
	// Settle returns the pause after a change before the next watch, so that changes close together cost one call; nil for
	// none.
	Settle func() time.Duration
	// Listed gets all items after a list, Changed the events of a watch. Both run on the follower's goroutine.
	Listed  func(ctx context.Context, s Snapshot)
	Changed func(ctx context.Context, c Changes)
	// Lost and Back tell when the store stops to answer, and when it answers again.
	Lost func(err error)
	Back func()
}

const (
	// firstRetry is the pause after the first call that fails; each further one in a row doubles it.
	firstRetry = 50 * time.Millisecond
	// maxRetry bounds that pause. The store counts calls that it refuses, too, and after an outage all is to be known within
	// two seconds.
	maxRetry = 800 * time.Millisecond
)

// Follower keeps up with all keys under a prefix.
type Follower struct {
	config FollowerConfig
	// after is the revision up to which all is known, and listed is false while that isn't so.
	after  uint64
	listed bool
	lost   bool
	// backoff is the pause after calls that fail.
	backoff pause.Backoff
}

// NewFollower returns a follower that knows nothing.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{config: config, backoff: pause.Backoff{First: firstRetry, Longest: maxRetry}}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			f.listed = false
		case err != nil:
			f.failed(ctx, err)
		default:
			f.succeeded()
		}
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

func (f *Follower) list(ctx context.Context) error {
	snapshot, err := f.config.Store.List(ctx, f.config.Prefix)
	if err != nil {
		return err
	}
	f.after, f.listed = snapshot.Revision, true
	f.config.Listed(ctx, snapshot)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	changes, err := f.config.Store.Watch(ctx, f.config.Prefix, f.after, f.config.Wait)
	if err != nil {
		return err
	}
	f.after = max(f.after, changes.Revision)
	if len(changes.Events) == 0 {
		return nil
	}
	f.config.Changed(ctx, changes)
	if f.config.Settle != nil {
		pause.For(ctx, f.config.Settle())
	}
	return nil
}

// failed pauses. After a watch that broke off all is read anew: the store may have dropped the history meanwhile, and
// says so only with the next change.
func (f *Follower) failed(ctx context.Context, err error) {
	f.listed = false
	if !f.lost {
		f.lost = true
		f.config.Lost(err)
	}
	f.backoff.Wait(ctx)
}

func (f *Follower) succeeded() {
	f.backoff.Reset()
	if f.lost {
		f.lost = false
		f.config.Back()
	}
}
