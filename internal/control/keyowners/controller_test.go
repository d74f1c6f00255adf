package keyowners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

func TestLeaderMaintainsShards(t *testing.T) {
	c := NewController(Config{Timing: DefaultTiming})
	now := c.started.Add(time.Hour)
	epoch := func(zone string, until time.Duration) outcome.Shard {
		return outcome.Shard{Epochs: []outcome.Epoch{{Until: now.Add(until).UnixMilli(), Zone: zone}}}
	}
	for name, tc := range map[string]struct {
		shard string
		held  outcome.Shard
		now   time.Time
		want  bool
	}{
		"its own":                               {shard: "lisbon_1", held: epoch("lisbon_1", time.Second), now: now, want: true},
		"its own, maintained elsewhere":         {shard: "lisbon_1", held: epoch("lisbon_2", time.Second), now: now, want: true},
		"another zone's":                        {shard: "lisbon_2", held: epoch("lisbon_2", time.Second), now: now},
		"another zone's, just ended":            {shard: "lisbon_2", held: epoch("lisbon_2", -time.Second), now: now},
		"another zone's, ended long ago":        {shard: "lisbon_2", held: epoch("lisbon_2", -time.Minute), now: now, want: true},
		"another zone's, maintained here":       {shard: "lisbon_2", held: epoch("lisbon_1", time.Second), now: now, want: true},
		"without an epoch":                      {shard: "lisbon_2", now: now, want: true},
		"without an epoch, leader just started": {shard: "lisbon_2", now: c.started.Add(time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			b := &board.Board{
				Self:      board.Self{Zone: "lisbon_1"},
				KeyOwners: board.KeyOwners{Shards: map[string]outcome.Shard{tc.shard: tc.held}},
			}
			is.New(t).Equal(c.maintainsShard(tc.now, b, tc.shard), tc.want)
		})
	}
}

// The last node of a zone must continue the epoch while it leaves; otherwise no node would own current keys.
func TestKeyOwnersWhileLastNodeOfZoneLeaves(t *testing.T) {
	up := membership.Member{Node: "access_0", Incarnation: 3, Zone: "lisbon_1", State: membership.Up}
	last := []outcome.Member{{Node: outcome.Node{Name: "access_1", Incarnation: 4}, Service: "access"}}
	for name, tc := range map[string]struct {
		leaving bool
		members []membership.Member
		want    []outcome.Member
	}{
		"leaves, another is up": {leaving: true, members: []membership.Member{up}, want: []outcome.Member{{Node: outcome.Node{Name: "access_0", Incarnation: 3}, Service: "access"}}},
		"leaves, none is up":    {leaving: true, want: last},
		"none is up, stays":     {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewController(Config{Timing: DefaultTiming})
			b := &board.Board{
				Self:    board.Self{Zone: "lisbon_1", Draining: tc.leaving},
				Members: board.Members{ByService: map[string][]membership.Member{"access": tc.members}},
			}
			written := outcome.Shard{Epochs: []outcome.Epoch{{Zone: "lisbon_1", Members: last}}}
			is.Equal(c.renewal(b, written).Members, tc.want)
		})
	}
}
