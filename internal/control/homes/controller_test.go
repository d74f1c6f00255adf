package homes

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

func TestWhichShardsALeaderKeeps(t *testing.T) {
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
		"its own":                        {shard: "lisbon_1", held: epoch("lisbon_1", time.Second), now: now, want: true},
		"its own, kept elsewhere":        {shard: "lisbon_1", held: epoch("lisbon_2", time.Second), now: now, want: true},
		"another zone's":                 {shard: "lisbon_2", held: epoch("lisbon_2", time.Second), now: now},
		"another zone's, just ended":     {shard: "lisbon_2", held: epoch("lisbon_2", -time.Second), now: now},
		"another zone's, silent":         {shard: "lisbon_2", held: epoch("lisbon_2", -time.Minute), now: now, want: true},
		"another zone's, kept here":      {shard: "lisbon_2", held: epoch("lisbon_1", time.Second), now: now, want: true},
		"begun by no zone":               {shard: "lisbon_2", now: now, want: true},
		"begun by no zone, just started": {shard: "lisbon_2", now: c.started.Add(time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			b := &board.Board{
				Self:  board.Self{Zone: "lisbon_1"},
				Homes: board.Homes{Shards: map[string]outcome.Shard{tc.shard: tc.held}},
			}
			is.New(t).Equal(c.isKept(tc.now, b, tc.shard), tc.want)
		})
	}
}
