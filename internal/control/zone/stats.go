package zone

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// Stats is the state of a controller for the dump and the metrics. Times are in milliseconds.
type Stats struct {
	Role     membership.Role `json:"role"`
	Followed string          `json:"followed,omitempty"`
	// Relayed reports whether the followed node is not the leader but follows it.
	Relayed bool   `json:"relayed"`
	Term    uint64 `json:"term"`
	// LeaseRemaining is the time until the lease expires unless it is renewed.
	LeaseRemaining int64 `json:"lease_left_ms"`
	Records        int   `json:"records"`
	// Digest covers all records; nodes with the same records have the same digest.
	Digest uint64 `json:"digest"`
	// Silence maps each node that this leader monitors to the time since its last heartbeat; it is empty on a follower.
	Silence map[string]int64 `json:"silence_ms"`
	// Down lists the members known to be down.
	Down []string `json:"down"`
	// LeaderlessZones maps each other zone without a leader at the platform to how long it has had none.
	LeaderlessZones map[string]int64 `json:"lapsed_zones_ms"`
	Links           []LinkStats      `json:"links"`
	Counts          Counts           `json:"counts"`
}

// LinkStats is the state of the link to another node.
type LinkStats struct {
	Address string `json:"address"`
	// Pending counts the records made here that the other node may lack.
	Pending int `json:"pending"`
	// Mismatches counts the consecutive heartbeats whose reply had a different digest.
	Mismatches int `json:"mismatches"`
	// Idle is the time since the link was last used.
	Idle int64 `json:"idle_ms"`
}

// Stats returns the state of the controller.
func (c *Controller) Stats(ctx context.Context) Stats {
	var s Stats
	c.config.Board.Do(ctx, func(*board.Board) { s = c.stats(time.Now()) })
	return s
}

func (c *Controller) stats(now time.Time) Stats {
	followed, leads, _ := c.election.Followed(now)
	s := Stats{
		Role:            c.role,
		Followed:        followed.Node,
		Relayed:         followed.Node != "" && !leads,
		Term:            c.election.Term(),
		LeaseRemaining:  max(0, c.election.LeaseRemaining(now).Milliseconds()),
		Records:         c.records.Len(),
		Digest:          c.records.Digest(),
		Silence:         map[string]int64{},
		LeaderlessZones: map[string]int64{},
		Down:            c.down(),
		Links:           c.linkStats(now),
		Counts:          c.counts,
	}
	if c.role != membership.Following {
		for node, age := range c.detector.Silences(now) {
			s.Silence[node] = age.Milliseconds()
		}
	}
	for zone, since := range c.leadership.leaderlessSince {
		s.LeaderlessZones[zone] = now.Sub(since).Milliseconds()
	}
	return s
}

func (c *Controller) down() []string {
	down := []string{}
	for node, m := range c.members {
		if m.State == membership.Down {
			down = append(down, node)
		}
	}
	slices.Sort(down)
	return down
}

func (c *Controller) linkStats(now time.Time) []LinkStats {
	stats := []LinkStats{}
	for address, l := range c.links {
		stats = append(stats, LinkStats{
			Address:    address,
			Pending:    len(l.pending),
			Mismatches: l.mismatches,
			Idle:       now.Sub(l.usedAt).Milliseconds(),
		})
	}
	slices.SortFunc(stats, func(a, b LinkStats) int { return strings.Compare(a.Address, b.Address) })
	return stats
}
