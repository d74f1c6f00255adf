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
	// WatchTimeout is how long one watch waits.
	WatchTimeout time.Duration
	// CoalesceDelay returns the pause after a change before the next watch, so that changes close together cost one call; nil for
	// none.
	CoalesceDelay func() time.Duration
	// OnList gets all items after a list, Changed the events of a watch. Both run on the follower's goroutine.
	OnList   func(ctx context.Context, s Snapshot)
	OnChange func(ctx context.Context, c Changes)
	// OnLost and Back tell when the store stops to answer, and when it answers again.
	OnLost      func(err error)
	OnRecovered func()
}

const (
	// minRetryDelay is the pause after the first call that fails; each further one in a row doubles it.
	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay bounds that pause. The store counts calls that it refuses, too, and after an outage all is to be known within
	// two seconds.
	maxRetryDelay = 800 * time.Millisecond
)

// Follower keeps up with all keys under a prefix.
type Follower struct {
	config FollowerConfig
	// revision is the revision up to which all is known, and listed is false while that isn't so.
	revision    uint64
	listed      bool
	unreachable bool
	// backoff is the pause after calls that fail.
	backoff pause.Backoff
}

// NewFollower returns a follower that knows nothing.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{config: config, backoff: pause.Backoff{Initial: minRetryDelay, Max: maxRetryDelay}}
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
			f.recordFailure(ctx, err)
		default:
			f.recordSuccess()
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
	f.revision, f.listed = snapshot.Revision, true
	f.config.OnList(ctx, snapshot)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	changes, err := f.config.Store.Watch(ctx, f.config.Prefix, f.revision, f.config.WatchTimeout)
	if err != nil {
		return err
	}
	f.revision = max(f.revision, changes.Revision)
	if len(changes.Events) == 0 {
		return nil
	}
	f.config.OnChange(ctx, changes)
	if f.config.CoalesceDelay != nil {
		pause.For(ctx, f.config.CoalesceDelay())
	}
	return nil
}

// recordFailure pauses. After a watch that broke off all is read anew: the store may have dropped the history meanwhile, and
// says so only with the next change.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	f.listed = false
	if !f.unreachable {
		f.unreachable = true
		f.config.OnLost(err)
	}
	f.backoff.Wait(ctx)
}

func (f *Follower) recordSuccess() {
	f.backoff.Reset()
	if f.unreachable {
		f.unreachable = false
		f.config.OnRecovered()
	}
}
