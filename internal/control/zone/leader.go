package zone

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// lead does the duties of a leader once.
func (c *Controller) lead(ctx context.Context) {
	if !c.watching {
		c.startWatching(ctx)
	}
	c.renewLease(ctx)
	c.markDown(ctx)
	c.writeZone(ctx)
}

func (c *Controller) renewLease(ctx context.Context) {
	if time.Since(c.renewed) < c.config.Timing.LeaseTTL/3 {
		return
	}
	err := c.config.Platform.RenewLease(ctx, c.lease)
	switch {
	case err == nil:
		c.renewed = time.Now()
		c.platformState(ctx, true)
	case errors.Is(err, platform.ErrNotFound):
		c.resign(ctx)
	default:
		c.platformState(ctx, false)
	}
}

func (c *Controller) resign(ctx context.Context) {
	c.lease = platform.Lease{}
	c.stopWatching()
	c.config.Log.Emit(events.LeaderLost, nil)
	c.config.Board.Do(ctx, func(b *board.Board) { b.Leader = board.Leader{} })
}

// markDown marks the members of the zone that missed their heartbeats.
func (c *Controller) markDown(ctx context.Context) {
	now := time.Now()
	c.config.Board.Do(ctx, func(b *board.Board) {
		for _, m := range b.Members.ByNode {
			if m.Zone != b.Self.Zone || m.Node == b.Self.Node || !c.detector.IsDown(m.Node, now) {
				continue
			}
			held, _ := c.records.Get(membership.MemberPrefix + m.Node)
			m.State = membership.Down
			c.config.Log.Emit(events.MemberDown, events.Fields{"member": m.Node})
			c.merge(b, m.Record(membership.Version{Epoch: held.Version.Epoch, Sequence: held.Version.Sequence + 1}))
		}
	})
}

// zoneValue is the batch of a zone's member records in the platform.
type zoneValue struct {
	Records []membership.Record `json:"records"`
}

// writeZone writes the records of the zone's members in one batch where they changed.
func (c *Controller) writeZone(ctx context.Context) {
	var value zoneValue
	var digest uint64
	zone := ""
	c.config.Board.Do(ctx, func(b *board.Board) {
		zone = b.Self.Zone
		digest = c.records.Digest()
		if digest == c.published {
			return
		}
		for _, r := range c.records.Prefix(membership.MemberPrefix) {
			m, err := membership.ParseMember(r)
			if err == nil && m.Zone == zone {
				value.Records = append(value.Records, r)
			}
		}
	})
	if len(value.Records) == 0 {
		return
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return
	}
	entry, err := c.config.Platform.CompareAndSwap(ctx, platform.Swap{Key: zonePrefix + zone, Value: encoded, Expected: c.zoneEntry.Revision})
	if err == nil {
		c.zoneEntry = entry
		c.published = digest
		return
	}
	entry, err = c.config.Platform.Get(ctx, zonePrefix+zone)
	if err == nil {
		c.zoneEntry = entry
	}
}
