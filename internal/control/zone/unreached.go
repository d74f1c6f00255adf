package zone

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

const (
	// reachPrefix is the key prefix of the records in which the leader of a zone lists the zones that it can't reach.
	reachPrefix = "reach/"
	// unreachedThreshold is the number of consecutive heartbeats without a reply after which another zone counts as
	// unreached.
	unreachedThreshold = 2
)

// reachValue is the value of a reach record.
type reachValue struct {
	Unreached []string `json:"unreached"`
}

// recordZoneContact records whether a heartbeat to the zone got a reply, and publishes the unreached zones if they
// changed.
func (c *Controller) recordZoneContact(b *board.Board, zone string, answered bool) {
	c.leadership.unanswered[zone]++
	if answered {
		delete(c.leadership.unanswered, zone)
	}
	if c.role == membership.Following {
		return
	}
	unreached := c.unreached(b)
	key := reachPrefix + b.Self.Zone
	held, _ := c.records.Get(key)
	if slices.Equal(unreached, parseUnreached(held.Value)) {
		return
	}
	value, err := json.Marshal(reachValue{Unreached: unreached})
	if err != nil {
		return
	}
	version := membership.Version{Epoch: held.Version.Epoch + 1, Sequence: c.logID}
	c.offer(b, membership.Record{Key: key, Version: version, Value: value})
}

// unreached returns the other zones whose members don't reply, sorted by name.
func (c *Controller) unreached(b *board.Board) []string {
	var zones []string
	for zone, count := range c.leadership.unanswered {
		if count >= unreachedThreshold && b.Members.CountInZone(zone) > 0 {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func parseUnreached(value []byte) []string {
	var v reachValue
	_ = json.Unmarshal(value, &v) // An unreadable value lists no unreached zones.
	return v.Unreached
}

// publishReach updates the zones on the board that the leader of the node's zone can't reach.
func publishReach(b *board.Board, changed []membership.Record) {
	for _, r := range changed {
		if r.Key != reachPrefix+b.Self.Zone {
			continue
		}
		reach := board.ZoneReachability{UnreachableSince: map[string]time.Time{}}
		for _, zone := range parseUnreached(r.Value) {
			since, known := b.ZoneReachability.UnreachableSince[zone]
			if !known {
				since = time.Now()
			}
			reach.UnreachableSince[zone] = since
		}
		b.ZoneReachability = reach
	}
}
