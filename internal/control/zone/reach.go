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
	// unreachedAfter is how many heartbeats in a row to another zone had no answer when it counts as not reached.
	unreachedAfter = 2
)

// reachValue is what a leader can't reach.
type reachValue struct {
	Unreached []string `json:"unreached"`
}

// met notes whether a heartbeat to the zone was answered, and tells the members where that changes what is reached.
func (c *Controller) met(b *board.Board, zone string, answered bool) {
	c.lead.unanswered[zone]++
	if answered {
		delete(c.lead.unanswered, zone)
	}
	if c.role == membership.Following {
		return
	}
	unreached := c.unreached(b)
	key := reachPrefix + b.Self.Zone
	held, _ := c.records.Get(key)
	if slices.Equal(unreached, parseReach(held.Value)) {
		return
	}
	value, err := json.Marshal(reachValue{Unreached: unreached})
	if err != nil {
		return
	}
	version := membership.Version{Epoch: held.Version.Epoch + 1, Sequence: c.log}
	c.offer(b, membership.Record{Key: key, Version: version, Value: value})
}

// unreached returns the other zones with members that don't answer, by name.
func (c *Controller) unreached(b *board.Board) []string {
	var zones []string
	for zone, count := range c.lead.unanswered {
		if count >= unreachedAfter && b.Members.InZone(zone) > 0 {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func parseReach(value []byte) []string {
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
		reach := board.Reach{Unreached: map[string]time.Time{}}
		for _, zone := range parseReach(r.Value) {
			since, known := b.Reach.Unreached[zone]
			if !known {
				since = time.Now()
			}
			reach.Unreached[zone] = since
		}
		b.Reach = reach
	}
}
