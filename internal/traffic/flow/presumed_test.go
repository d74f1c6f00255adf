package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

func TestPresumedOwner(t *testing.T) {
	owner := outcome.Node{Name: "bookings_0", Incarnation: 1}
	shard := outcome.Shard{Epochs: []outcome.Epoch{
		{Start: 0, Until: 1000, Zone: "lisbon_2", Members: []outcome.Member{{Node: owner}}},
	}}
	for name, test := range map[string]struct {
		unreached string
		key       outcome.Key
		found     bool
	}{
		"key of the current time":          {key: outcome.Key{Text: "k", Timed: true, UnixMillis: 1000}, found: true},
		"key without a time":               {key: outcome.Key{Text: "k"}, found: true},
		"key of a time in an agreed epoch": {key: outcome.Key{Text: "k", Timed: true, UnixMillis: 999}},
		"another zone is unreachable":      {unreached: "lisbon_3", key: outcome.Key{Text: "k"}, found: true},
		"zone of the owner is unreachable": {unreached: "lisbon_2", key: outcome.Key{Text: "k"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &board.Board{
				KeyOwners:        board.KeyOwners{Shards: map[string]outcome.Shard{"lisbon_2": shard}},
				ZoneReachability: board.ZoneReachability{UnreachableSince: map[string]time.Time{test.unreached: {}}},
			}
			got, found := presumedOwner(b, []string{"lisbon_2"}, "bookings", test.key)
			is.Equal(found, test.found)
			is.True(!found || got == owner)
		})
	}
}
