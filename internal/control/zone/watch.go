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
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 500 * time.Millisecond
	// minWatchInterval is the delay between two watches. Every change at the platform ends the watches of all zones;
	// without the delay, each zone would call again for each change of any zone.
	minWatchInterval = 400 * time.Millisecond
	// relistInterval is the maximum time between two full lists of one kind of entry. The leaders' entries, which are
	// small, are listed every leaderRelistInterval.
	relistInterval       = 10 * time.Minute
	leaderRelistInterval = 30 * time.Second
	// defaultWatchTimeout limits how long the platform holds a watch open, for all kinds of entries but documents.
	defaultWatchTimeout = 20 * time.Second
	// rollbackCheckInterval is the minimum time between checks that the platform still holds the newest document.
	rollbackCheckInterval = 2 * time.Second
)

// startWatches starts a watch of the platform for each section that is read from it. The watches run while this lease
// is held. The history of documents is not watched.
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

// watch is the progress of the watch of one key prefix.
type watch struct {
	prefix string
	// revision is the last revision seen; 0 means that everything must be listed.
	revision uint64
	// listedAt is the time of the last full list, and checkedAt the time of the last rollback check.
	listedAt  time.Time
	checkedAt time.Time
}

// watch applies all changes under the prefix at the platform until the context ends.
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

// checkForRollback makes a watch of the documents list all of them if the platform has lost the newest one.
func (c *Controller) checkForRollback(ctx context.Context, w *watch) {
	if w.prefix != DocumentPrefix || time.Since(w.checkedAt) <= rollbackCheckInterval {
		return
	}
	w.checkedAt = time.Now()
	w.listedAt = c.listTimeAfterCheck(ctx, w.listedAt)
}

// watchOnce waits once for changes, or lists everything if a full list is due. It reports whether the platform
// responded.
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
		w.listedAt = time.Time{} // The platform was rolled back to older content.
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

// maxListAge returns the maximum time between two full lists.
func (w *watch) maxListAge() time.Duration {
	if w.prefix == LeaderPrefix {
		return leaderRelistInterval
	}
	return relistInterval
}

// applyChanges merges the entries under the prefix, and writes back what the platform has lost.
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
			c.relistLeaders(ctx) // All zones are known only after a full list of the zones.
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

// listTimeAfterCheck returns the time of the last full list, or the zero time if the platform has lost the newest
// document since. The platform may then have lost leaders' entries too, so these are listed too.
func (c *Controller) listTimeAfterCheck(ctx context.Context, listedAt time.Time) time.Time {
	if !c.hasRolledBack(ctx) {
		return listedAt
	}
	c.relistLeaders(ctx)
	return time.Time{}
}

// hasRolledBack reports whether the platform has lost the newest document held here, as happens when it is restored to
// older content. The platform's revision does not show this: later writes soon raise it above the last revision seen,
// and a watch does not return entries that are missing. Older content always lacks the newest document.
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

// fetchChanges lists everything under the prefix if after is 0, and otherwise watches for changes after that revision.
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

// mergeEntries decodes the entries and merges their records.
func (c *Controller) mergeEntries(ctx context.Context, entries []platform.Entry) {
	var records []membership.Record
	for _, e := range entries {
		records = append(records, c.decode(e)...)
	}
	c.config.Board.Do(ctx, func(b *board.Board) { c.merge(b, records...) })
}

// recordLeaders records which zones have a leader at the platform. Full reports whether the entries cover all zones.
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

// recordLeader records whether the other zone has a leader at the platform.
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

// confirmLeadership resigns if the platform holds the entry of a leader with a later term. If the platform has lost
// this leader's entry, for example by a rollback to older content, the entry is written again under the lease, which
// the platform checks.
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
		c.recordPlatformResult(ctx, err) // A refusal means that the platform's response lagged or that the lease has ended.
	}
}

// decode returns the records in a platform entry.
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
