package zone

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

const (
	// watchRetry is the pause after a watch that failed.
	watchRetry = 500 * time.Millisecond
	// relistEvery is the longest time without a look at everything, which finds a platform that was restored.
	relistEvery = 30 * time.Second
)

func (c *Controller) startWatching(ctx context.Context) {
	ctx, c.watchCancel = context.WithCancel(ctx)
	c.watching = true
	c.group.Go(func() { c.watch(ctx) })
}

func (c *Controller) stopWatching() {
	if c.watching {
		c.watchCancel()
		c.watching = false
	}
}

// watch takes in all changes at the platform until the context ends.
func (c *Controller) watch(ctx context.Context) {
	var after uint64
	var listed time.Time
	for ctx.Err() == nil {
		if time.Since(listed) > relistEvery {
			after = 0
		}
		whole := after == 0
		changes, err := c.changes(ctx, after)
		if err != nil {
			sleep(ctx, watchRetry)
			continue
		}
		if whole {
			listed = time.Now()
		}
		if changes.Revision < after {
			listed = time.Time{} // The platform went back to older content.
			continue
		}
		if after = changes.Revision; after == 0 {
			sleep(ctx, watchRetry) // An empty store has no revision to wait on.
		}
		c.takeIn(ctx, changes.Entries)
		if c.reinstate(ctx, changes.Entries, whole) != nil {
			listed = time.Time{}
			sleep(ctx, watchRetry)
		}
	}
}

// changes returns everything where nothing was seen before, and else what comes after the revision.
func (c *Controller) changes(ctx context.Context, after uint64) (platform.Changes, error) {
	if after == 0 {
		return c.config.Platform.List(ctx, "")
	}
	return c.config.Platform.Watch(ctx, "", after, c.config.Timing.WatchWait)
}

func (c *Controller) takeIn(ctx context.Context, entries []platform.Entry) {
	var records []membership.Record
	for _, e := range entries {
		records = append(records, c.decode(e)...)
	}
	c.config.Board.Do(ctx, func(b *board.Board) { c.merge(b, records...) })
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

func decodeZone(e platform.Entry) []membership.Record {
	var v zoneValue
	if json.Unmarshal(e.Value, &v) != nil {
		return nil
	}
	return v.Records
}

func decodeLeader(e platform.Entry) []membership.Record {
	return []membership.Record{{Key: e.Key, Version: membership.Version{Epoch: e.Revision}, Value: e.Value}}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
