package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/roster"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// FollowerConfig configures a Follower. All fields but CheckInterval, CoalesceDelay, Plan, Known, OnStale, OnSilent and OnRead
// are required.
type FollowerConfig struct {
	Store  Store
	Prefix string
	// WatchTimeout limits how long one watch waits for changes.
	WatchTimeout time.Duration
	// CheckInterval returns how long a watch waits before a stale list beside it looks for a change that the watch has not
	// returned, and the time between two such lists. With nil, a watch that is never answered hides changes until
	// WatchTimeout.
	CheckInterval func() time.Duration
	// CoalesceDelay returns the pause after a change before the next watch, so that changes in quick succession cost
	// one call; nil means no pause.
	CoalesceDelay func() time.Duration
	// Plan decides between lists, stale lists and watches; nil means a watch after the first list.
	Plan *roster.ReadPlan
	// Known returns how many keys under the prefix are known. It is required with a Plan.
	Known func() int
	// OnList gets the result of a list, OnChange the events of a watch, and OnStale the result of a stale list that has an
	// item newer than all that is known, or is of another era than that; a list follows as soon as the store returns one. No
	// two of them run at the same time.
	OnList   func(ctx context.Context, s Snapshot)
	OnChange func(ctx context.Context, c Changes)
	OnStale  func(ctx context.Context, s Snapshot)
	// OnSilent is called when a change is known that the watch that waits has not returned.
	OnSilent func()
	// OnRead is called after each response to a list or a watch; nil if it isn't needed.
	OnRead func()
	// OnLost is called when the store stops answering, and OnRecovered when it answers again.
	OnLost      func(err error)
	OnRecovered func()
}

const (
	// minRetryDelay is the delay after the first failed call; each further consecutive failure doubles it.
	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay limits the delay. It is not shorter because the store also counts the calls that it refuses, and
	// not longer because a follower must be up to date within two seconds of the end of an outage.
	maxRetryDelay = 800 * time.Millisecond
)

// Follower reports all keys under a prefix and their changes to the functions of its configuration. It keeps no copy of
// the keys itself.
type Follower struct {
	config FollowerConfig
	// revision is the revision up to which changes are known; it is valid while listed is true.
	revision uint64
	listed   bool
	// era is the era of the store that the revision belongs to.
	era uint64
	// unreachable is true from a failed call to the next successful one. OnLost and OnRecovered are called when it
	// changes, and so once per outage.
	unreachable bool
	// backoff is the delay after failed calls.
	backoff pause.Backoff

	mu sync.Mutex
	// interrupt ends the watch that waits, for the given reason; nil while none waits.
	interrupt context.CancelCauseFunc
}

// NewFollower returns a follower that begins with a list.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{config: config, backoff: pause.Backoff{Initial: minRetryDelay, Max: maxRetryDelay}}
}

// Run lists and watches the prefix until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			f.relist()
		case err != nil:
			f.recordFailure(ctx, err)
		default:
			f.recordSuccess()
		}
	}
}

// step makes one call to the store, or two after an outage.
func (f *Follower) step(ctx context.Context) error {
	switch {
	case !f.listed && f.unreachable:
		return f.probeAndList(ctx)
	case !f.listed:
		return f.list(ctx)
	case f.config.Plan.Next() == roster.ReadStale:
		return f.listStale(ctx)
	}
	return f.watch(ctx)
}

// relist makes the next call a list.
func (f *Follower) relist() {
	f.listed = false
	f.config.Plan.Restarted()
}

// probeAndList tries to reach the store by a stale list, because the store counts failed calls, too, and all nodes make them
// during an outage. After a success it lists what is there now.
func (f *Follower) probeAndList(ctx context.Context) error {
	snapshot, err := f.config.Store.ListStale(ctx, f.config.Prefix)
	if err != nil {
		return err
	}
	f.reportIfNewer(ctx, snapshot)
	return f.list(ctx)
}

func (f *Follower) list(ctx context.Context) error {
	snapshot, err := f.config.Store.List(ctx, f.config.Prefix)
	if err != nil {
		return err
	}
	f.revision, f.era, f.listed = snapshot.Revision, snapshot.Era, true
	f.config.Plan.Listed(len(snapshot.Items), newestRevision(snapshot.Items))
	f.config.OnList(ctx, snapshot)
	return nil
}

// listStale lists the keys as they were up to some seconds ago, and pauses. A watch goes on from the newest revision among
// the items, because the store may name a revision that is newer than what it lists. A list that is older than what is
// known already, or from before a restore of the store, is ignored.
func (f *Follower) listStale(ctx context.Context) error {
	snapshot, err := f.config.Store.ListStale(ctx, f.config.Prefix)
	if err != nil {
		return err
	}
	if era, _ := f.config.Store.Era(); era != f.era || snapshot.Era != f.era {
		f.relist()
		return nil
	}
	newest := newestRevision(snapshot.Items)
	if snapshot.Revision < f.revision {
		f.config.Plan.Outdated()
	} else {
		f.revision = max(f.revision, newest)
		f.config.Plan.Listed(len(snapshot.Items), newest)
		f.config.OnList(ctx, snapshot)
	}
	pause.For(ctx, f.config.CoalesceDelay())
	return nil
}

// newestRevision returns the highest revision among the items.
func newestRevision(items []Item) uint64 {
	newest := uint64(0)
	for _, item := range items {
		newest = max(newest, item.Revision)
	}
	return newest
}

// watch waits for changes. If the store has been restored since the list, a watch after the revision could miss changes,
// and the next call is a list instead. A watch that waits meanwhile is broken off as soon as any call shows the restore.
func (f *Follower) watch(ctx context.Context) error {
	era, ended := f.config.Store.Era()
	if era != f.era {
		f.relist()
		return nil
	}
	changes, err := f.watchOnce(ctx, ended)
	switch {
	case ended.Err() != nil || errors.Is(err, errSilentWatch):
		f.relist()
		return nil
	case err != nil:
		return err
	}
	f.revision = max(f.revision, changes.Revision)
	if len(changes.Events) == 0 {
		return nil
	}
	f.config.OnChange(ctx, changes)
	if f.config.Plan != nil {
		f.config.Plan.Changed(f.config.Known())
	}
	if f.config.CoalesceDelay != nil {
		pause.For(ctx, f.config.CoalesceDelay())
	}
	return nil
}

// recordFailure pauses after a failed call and makes the next call a list, or a stale one if the plan says so. After a
// broken watch everything must be listed, because the store may have compacted the history meanwhile, and reports that only
// with the next change.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	f.config.Plan.Failed()
	f.listed = f.listed && f.config.Plan.Next() == roster.ReadStale
	if !f.unreachable {
		f.unreachable = true
		f.config.OnLost(err)
	}
	f.backoff.Wait(ctx)
}

// recordSuccess resets the backoff after a call that succeeded.
func (f *Follower) recordSuccess() {
	f.backoff.Reset()
	if f.config.OnRead != nil && f.listed {
		f.config.OnRead()
	}
	if f.unreachable {
		f.unreachable = false
		f.config.OnRecovered()
	}
}
