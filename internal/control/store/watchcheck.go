package store

import (
	"context"
	"errors"
	"fmt"

	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// errSilentWatch ends a watch that has not returned a change that is known.
var errSilentWatch = errors.New("the watch has not returned a change")

// maxFailedChecks is the number of consecutive failed checks from which on the store counts as unreachable, although the
// watch still waits.
const maxFailedChecks = 2

// watchOnce makes one watch, with checks beside it. It is broken off when ended is done.
func (f *Follower) watchOnce(ctx context.Context, ended context.Context) (Changes, error) {
	watching, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	defer context.AfterFunc(ended, func() { interrupt(ErrOldEra) })()
	f.setInterrupt(interrupt)
	defer f.setInterrupt(nil)
	var group conc.WaitGroup
	group.Go(func() { f.check(watching, interrupt) })
	changes, err := f.config.Store.Watch(watching, f.config.Prefix, f.revision, f.config.WatchTimeout)
	if err != nil && watching.Err() != nil && ctx.Err() == nil {
		err = context.Cause(watching)
	}
	interrupt(nil)
	group.Wait()
	return changes, err
}

func (f *Follower) setInterrupt(interrupt context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = interrupt
}

// Suspect breaks off the watch that waits, if there is one, and begins anew with a list. It is called when a change is known
// from elsewhere that the watch has not returned.
func (f *Follower) Suspect() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.reportSilent()
		f.interrupt(errSilentWatch)
		f.interrupt = nil
	}
}

func (f *Follower) reportSilent() {
	if f.config.OnSilent != nil {
		f.config.OnSilent()
	}
}

// check looks for changes that the watch has not returned, until the watch ends. It interrupts the watch if it finds one, or
// if the store no longer answers.
func (f *Follower) check(ctx context.Context, interrupt context.CancelCauseFunc) {
	if f.config.CheckInterval == nil {
		return
	}
	failed := 0
	for pause.For(ctx, f.config.CheckInterval()) {
		snapshot, err := f.config.Store.ListStale(ctx, f.config.Prefix)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			failed++
		case f.reportIfNewer(ctx, snapshot):
			f.reportSilent()
			interrupt(errSilentWatch)
			return
		default:
			failed = 0
		}
		if failed >= maxFailedChecks {
			interrupt(fmt.Errorf("%d checks beside the watch failed: %w", failed, err))
			return
		}
	}
}

// reportIfNewer passes on a stale list that has an item newer than all that is known, or is of another era than that, and
// reports whether it is.
func (f *Follower) reportIfNewer(ctx context.Context, s Snapshot) bool {
	if s.Era == f.era && newestRevision(s.Items) <= f.revision {
		return false
	}
	if f.config.OnStale != nil {
		f.config.OnStale(ctx, s)
	}
	return true
}
