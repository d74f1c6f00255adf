package zone

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

const (
	// reachPrefix begins the key of the record by which a zone's leader tells its members which zones it can't reach.
	reachPrefix = "reach/"
	// unreachedThreshold is how many heartbeats in a row to another zone had no answer when it counts as not reached.
	unreachedThreshold = 2
)

// reachValue is what a leader can't reach.
type reachValue struct {
	Unreached []string `json:"unreached"`
}

// recordZoneContact notes whether a heartbeat to the zone was answered, and tells the members where that changes what is reached.
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

// unreached returns the other zones with members that don't answer, by name.
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
	_ = json.Unmarshal(value, &v) // Without a readable value all is reached.
	return v.Unreached
}

// publishReach renews the board's view of what the own zone's leader can't reach.
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
