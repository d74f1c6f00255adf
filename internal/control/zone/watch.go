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
	// watchRetry is the pause after a watch that failed.
	watchRetry = 500 * time.Millisecond
	// watchEvery is the least time between two watches. Each change at the platform ends the watches of all zones; with
	// the pause they are not called again for each change of each zone.
	watchEvery = 400 * time.Millisecond
	// relistEvery is the longest time without a look at all entries of a kind, and relistLeadersEvery at those of the
	// leaders, which are small.
	relistEvery        = 10 * time.Minute
	relistLeadersEvery = 30 * time.Second
	// quietWait is how long one watch of anything but documents waits at the platform.
	quietWait = 20 * time.Second
	// checkEvery is the time between looks at whether the platform still holds the newest document.
	checkEvery = 2 * time.Second
)

// startWatching watches the platform as long as this lease is held, each kind of entry for itself: the history of the
// documents is none of them.
func (c *Controller) startWatching(ctx context.Context) {
	c.config.Board.Do(ctx, func(*board.Board) {
		if c.lead.stopWatch != nil {
			return
		}
		watching, stop := context.WithCancel(ctx)
		c.lead.stopWatch = stop
		for prefix, section := range c.sections {
			if section.Decode != nil {
				c.tasks.start("watch "+prefix+" "+c.lead.lease.ID, func() { c.watch(watching, prefix) })
			}
		}
	})
}

// watch is how far one kind of entries has been seen at the platform.
type watch struct {
	prefix string
	// after is the revision seen last; 0 where everything is to be listed.
	after uint64
	// listed is when everything was listed last, and checked when it was last looked whether the platform went back.
	listed  time.Time
	checked time.Time
}

// watch takes in all changes under the prefix at the platform until the context ends.
func (c *Controller) watch(ctx context.Context, prefix string) {
	w := watch{prefix: prefix}
	for ctx.Err() == nil {
		c.checkDocuments(ctx, &w)
		if c.watchOnce(ctx, &w) {
			pause.For(ctx, watchEvery)
		} else {
			pause.For(ctx, watchRetry)
		}
	}
}

// checkDocuments makes a watch of the documents list them all where the platform lost one.
func (c *Controller) checkDocuments(ctx context.Context, w *watch) {
	if w.prefix != DocumentPrefix || time.Since(w.checked) <= checkEvery {
		return
	}
	w.checked = time.Now()
	w.listed = c.listedStill(ctx, w.listed)
}

// watchOnce waits for changes once, or lists everything where that is due. It reports false where the platform gave no
// answer.
func (c *Controller) watchOnce(ctx context.Context, w *watch) bool {
	if time.Since(w.listed) > w.longest() {
		w.after = 0
	}
	whole := w.after == 0
	changes, err := c.changes(ctx, w.prefix, w.after)
	c.answered(ctx, err)
	if err != nil {
		return false
	}
	if changes.Revision < w.after {
		w.listed = time.Time{} // The platform went back to older content.
		return true
	}
	if whole {
		w.listed = time.Now()
	}
	w.after = changes.Revision
	if c.takeChanges(ctx, w.prefix, changes.Entries, whole) != nil {
		w.listed = time.Time{}
	}
	return true
}

// longest is the longest time without a look at all entries.
func (w *watch) longest() time.Duration {
	if w.prefix == LeaderPrefix {
		return relistLeadersEvery
	}
	return relistEvery
}

// takeChanges takes in what the platform shows under the prefix, and writes back what it lost.
func (c *Controller) takeChanges(ctx context.Context, prefix string, entries []platform.Entry, whole bool) error {
	c.takeIn(ctx, entries)
	switch prefix {
	case LeaderPrefix:
		c.takeLeaders(ctx, entries, whole)
		c.keepLead(ctx, entries, whole)
	case DocumentPrefix:
		return c.reinstate(ctx, entries, whole)
	case zonePrefix:
		if whole {
			c.relistLeaders(ctx) // Only now are all zones known.
		}
	}
	return nil
}

func (c *Controller) relistLeaders(ctx context.Context) {
	changes, err := c.changes(ctx, LeaderPrefix, 0)
	c.answered(ctx, err)
	if err != nil {
		return
	}
	_ = c.takeChanges(ctx, LeaderPrefix, changes.Entries, true) // Only documents can fail.
}

// listedStill returns when all documents were listed last, or never where the platform lost one since. Then it may have
// lost the leaders' entries too.
func (c *Controller) listedStill(ctx context.Context, listed time.Time) time.Time {
	if !c.wentBack(ctx) {
		return listed
	}
	c.relistLeaders(ctx)
	return time.Time{}
}

// wentBack reports whether the platform lost the newest document held here, as one that was restored to older content
// has. Its revision alone doesn't tell: later writes soon bring it past the one seen last, and a watch shows nothing of
// what is gone. Whatever older content lacks, it lacks the newest document.
func (c *Controller) wentBack(ctx context.Context) bool {
	service, found := c.config.Board.Snapshot().Documents.Newest()
	if !found {
		return false
	}
	key := DocumentPrefix + service
	held, _ := c.Held(ctx, key)
	entry, err := getOrNone(ctx, c.config.Platform, key)
	if err != nil {
		return false
	}
	standing, err := parseStanding(entry)
	return err == nil && standing.Stored.Version().Compare(held.Version) < 0
}

// changes returns everything under the prefix where nothing was seen before, and else what comes after the revision.
func (c *Controller) changes(ctx context.Context, prefix string, after uint64) (platform.Changes, error) {
	if after == 0 {
		return c.config.Platform.List(ctx, prefix)
	}
	wait := quietWait
	if prefix == DocumentPrefix {
		wait = c.config.Timing.WatchWait
	}
	return c.config.Platform.Watch(ctx, prefix, after, wait)
}

func (c *Controller) takeIn(ctx context.Context, entries []platform.Entry) {
	var records []membership.Record
	for _, e := range entries {
		records = append(records, c.decode(e)...)
	}
	c.config.Board.Do(ctx, func(b *board.Board) { c.merge(b, records...) })
}

// takeLeaders takes in which zones have a leader at the platform. Whole says that the entries are everything there.
func (c *Controller) takeLeaders(ctx context.Context, entries []platform.Entry, whole bool) {
	c.config.Board.Do(ctx, func(b *board.Board) {
		named := map[string]leaderValue{}
		if whole {
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
			c.takeLeader(b, zone, v)
		}
	})
}

func (c *Controller) takeLeader(b *board.Board, zone string, v leaderValue) {
	_, lapsed := c.lead.lapsed[zone]
	switch {
	case zone == b.Self.Zone:
	case v.Node != "":
		delete(c.lead.lapsed, zone)
	case !lapsed:
		c.lead.lapsed[zone] = time.Now()
	}
}

// keepLead resigns where a later leader stands at the platform. Where the platform lost the entry of this one, as
// after going back to older content, it is written again under the lease, which the platform checks.
func (c *Controller) keepLead(ctx context.Context, entries []platform.Entry, whole bool) {
	var swap platform.Swap
	c.config.Board.Do(ctx, func(b *board.Board) {
		swap = platform.Swap{Key: entryKey(b.Self), Value: c.lead.value, Lease: c.lead.lease.ID}
	})
	named := leaderValue{}
	found := whole
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
		c.answered(ctx, err) // A refusal means that the platform lagged or that the lease is over.
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
