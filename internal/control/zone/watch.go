package zone

import (
	"context"
	"strings"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

const (
	// watchRetryDelay is the pause after a watch that failed.
	watchRetryDelay = 500 * time.Millisecond
	// minWatchInterval is the least time between two watches. Each change at the platform ends the watches of all zones; with
	// the pause they are not called again for each change of each zone.
	minWatchInterval = 400 * time.Millisecond
	// relistInterval is the longest time without a look at all entries of a kind, and relistLeadersEvery at those of the
	// leaders, which are small.
	relistInterval       = 10 * time.Minute
	leaderRelistInterval = 30 * time.Second
	// defaultWatchTimeout is how long one watch of anything but documents waits at the platform.
	defaultWatchTimeout = 20 * time.Second
	// rollbackCheckInterval is the time between looks at whether the platform still holds the newest document.
	rollbackCheckInterval = 2 * time.Second
)

// startWatches watches the platform as long as this lease is held, each kind of entry for itself: the history of the
// documents is none of them.
func (c *Controller) startWatches(ctx context.Context) {
	c.config.Board.Do(ctx, func(*board.Board) {
		if c.leadership.stopWatch != nil {
			return
		}
		watchCtx, stop := context.WithCancel(ctx)
		c.leadership.stopWatch = stop
		for prefix, section := range c.sections {
			if section.Decode != nil {
				c.tasks.start("watch "+prefix+" "+c.leadership.lease.ID, func() { c.watch(watchCtx, prefix) })
			}
		}
	})
}

// watch is how far one kind of entries has been seen at the platform.
type watch struct {
	prefix string
	// revision is the revision seen last; 0 where everything is to be listed.
	revision uint64
	// listedAt is when everything was listed last, and checked when it was last looked whether the platform went back.
	listedAt  time.Time
	checkedAt time.Time
}

// watch takes in all changes under the prefix at the platform until the context ends.
func (c *Controller) watch(ctx context.Context, prefix string) {
	w := watch{prefix: prefix}
	for ctx.Err() == nil {
		c.checkForRollback(ctx, &w)
		if c.watchOnce(ctx, &w) {
			pause.For(ctx, minWatchInterval)
		} else {
			pause.For(ctx, watchRetryDelay)
		}
	}
}

// checkForRollback makes a watch of the documents list them all where the platform lost one.
func (c *Controller) checkForRollback(ctx context.Context, w *watch) {
	if w.prefix != DocumentPrefix || time.Since(w.checkedAt) <= rollbackCheckInterval {
		return
	}
	w.checkedAt = time.Now()
	w.listedAt = c.listTimeAfterCheck(ctx, w.listedAt)
}

// watchOnce waits for changes once, or lists everything where that is due. It reports false where the platform gave no
// answer.
func (c *Controller) watchOnce(ctx context.Context, w *watch) bool {
	if time.Since(w.listedAt) > w.maxListAge() {
		w.revision = 0
	}
	full := w.revision == 0
	changes, err := c.fetchChanges(ctx, w.prefix, w.revision)
	c.recordPlatformResult(ctx, err)
	if err != nil {
		return false
	}
	if changes.Revision < w.revision {
		w.listedAt = time.Time{} // The platform went back to older content.
		return true
	}
	if full {
		w.listedAt = time.Now()
	}
	w.revision = changes.Revision
	if c.applyChanges(ctx, w.prefix, changes.Entries, full) != nil {
		w.listedAt = time.Time{}
	}
	return true
}

// maxListAge is the longest time without a look at all entries.
func (w *watch) maxListAge() time.Duration {
	if w.prefix == LeaderPrefix {
		return leaderRelistInterval
	}
	return relistInterval
}

// applyChanges takes in what the platform shows under the prefix, and writes back what it lost.
func (c *Controller) applyChanges(ctx context.Context, prefix string, entries []platform.Entry, full bool) error {
	c.mergeEntries(ctx, entries)
	switch prefix {
	case LeaderPrefix:
		c.recordLeaders(ctx, entries, full)
		c.confirmLeadership(ctx, entries, full)
	case DocumentPrefix:
		return c.reinstate(ctx, entries, full)
	case zonePrefix:
		if full {
			c.relistLeaders(ctx) // Only now are all zones known.
		}
	}
	return nil
}

func (c *Controller) relistLeaders(ctx context.Context) {
	changes, err := c.fetchChanges(ctx, LeaderPrefix, 0)
	c.recordPlatformResult(ctx, err)
	if err != nil {
		return
	}
	_ = c.applyChanges(ctx, LeaderPrefix, changes.Entries, true) // Only documents can fail.
}

// listTimeAfterCheck returns when all documents were listed last, or never where the platform lost one since. Then it may have
// lost the leaders' entries too.
func (c *Controller) listTimeAfterCheck(ctx context.Context, listedAt time.Time) time.Time {
	if !c.hasRolledBack(ctx) {
		return listedAt
	}
	c.relistLeaders(ctx)
	return time.Time{}
}

// hasRolledBack reports whether the platform lost the newest document held here, as one that was restored to older content
// has. Its revision alone doesn't tell: later writes soon bring it past the one seen last, and a watch shows nothing of
// what is gone. Whatever older content lacks, it lacks the newest document.
func (c *Controller) hasRolledBack(ctx context.Context) bool {
	service, found := c.config.Board.Snapshot().Documents.LastAccepted()
	if !found {
		return false
	}
	key := DocumentPrefix + service
	held, _ := c.Held(ctx, key)
	entry, err := getOrNone(ctx, c.config.Platform, key)
	if err != nil {
		return false
	}
	current, err := parsePlatformDocument(entry)
	return err == nil && current.Stored.Version().Compare(held.Version) < 0
}

// fetchChanges returns everything under the prefix where nothing was seen before, and else what comes after the revision.
func (c *Controller) fetchChanges(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	if after == 0 {
		return c.config.Platform.List(ctx, prefix)
	}
	timeout := defaultWatchTimeout
	if prefix == DocumentPrefix {
		timeout = c.config.Timing.WatchTimeout
	}
	return c.config.Platform.Watch(ctx, prefix, after, timeout)
}

func (c *Controller) mergeEntries(ctx context.Context, entries []platform.Entry) {
	var records []membership.Record
	for _, e := range entries {
		records = append(records, c.decode(e)...)
	}
	c.config.Board.Do(ctx, func(b *board.Board) { c.merge(b, records...) })
}

// recordLeaders takes in which zones have a leader at the platform. Whole says that the entries are everything there.
func (c *Controller) recordLeaders(ctx context.Context, entries []platform.Entry, full bool) {
	c.config.Board.Do(ctx, func(b *board.Board) {
		named := map[string]leaderValue{}
		if full {
			for _, m := range b.Members.ByNode {
				named[m.Zone] = leaderValue{}
			}
		}
		for _, e := range entries {
			zone, found := strings.CutPrefix(e.Key, LeaderPrefix)
			if found {
				named[zone] = parseLeader(e.Value)
			}
		}
		for zone, v := range named {
			c.recordLeader(b, zone, v)
		}
	})
}

func (c *Controller) recordLeader(b *board.Board, zone string, v leaderValue) {
	_, leaderless := c.leadership.leaderlessSince[zone]
	switch {
	case zone == b.Self.Zone:
	case v.Node != "":
		delete(c.leadership.leaderlessSince, zone)
	case !leaderless:
		c.leadership.leaderlessSince[zone] = time.Now()
	}
}

// confirmLeadership resigns where a later leader stands at the platform. Where the platform lost the entry of this one, as
// after going back to older content, it is written again under the lease, which the platform checks.
func (c *Controller) confirmLeadership(ctx context.Context, entries []platform.Entry, full bool) {
	var swap platform.Swap
	c.config.Board.Do(ctx, func(b *board.Board) {
		swap = platform.Swap{Key: leaderKey(b.Self), Value: c.leadership.leaderEntryValue, Lease: c.leadership.lease.ID}
	})
	named := leaderValue{}
	found := full
	for _, e := range entries {
		if e.Key != swap.Key {
			continue
		}
		found = true
		if !e.Deleted {
			named, swap.Expected = parseLeader(e.Value), e.Revision
		}
	}
	own := parseLeader(swap.Value)
	switch {
	case !found || named == own:
	case named.Term > own.Term:
		c.config.Board.Do(ctx, func(*board.Board) { c.election.RecordLeaseLost() })
	default:
		_, err := c.config.Platform.CompareAndSwap(ctx, swap)
		c.recordPlatformResult(ctx, err) // A refusal means that the platform lagged or that the lease is over.
	}
}

// decode returns the records that an entry of the platform stands for.
func (c *Controller) decode(e platform.Entry) []membership.Record {
	if e.Deleted {
		return nil
	}
	for prefix, section := range c.sections {
		if strings.HasPrefix(e.Key, prefix) && section.Decode != nil {
			return section.Decode(e)
		}
	}
	return nil
}
