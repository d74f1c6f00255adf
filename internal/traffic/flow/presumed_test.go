package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

func TestWhoIsAskedAboutAKeyPastTheKnownEnd(t *testing.T) {
	home := outcome.Node{Name: "bookings_0", Incarnation: 1}
	shard := outcome.Shard{Epochs: []outcome.Epoch{
		{Start: 0, Until: 1000, Zone: "lisbon_2", Members: []outcome.Member{{Node: home}}},
	}}
	for name, c := range map[string]struct {
		unreached string
		key       outcome.Key
		found     bool
	}{
		"a key of the present":             {key: outcome.Key{Text: "k", Timed: true, UnixMillis: 1000}, found: true},
		"a key without a time":             {key: outcome.Key{Text: "k"}, found: true},
		"a key of an agreed time":          {key: outcome.Key{Text: "k", Timed: true, UnixMillis: 999}},
		"another zone can't be reached":    {unreached: "lisbon_3", key: outcome.Key{Text: "k"}, found: true},
		"the home's zone can't be reached": {unreached: "lisbon_2", key: outcome.Key{Text: "k"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &board.Board{
				Homes: board.Homes{Shards: map[string]outcome.Shard{"lisbon_2": shard}},
				Reach: board.Reach{Unreached: map[string]time.Time{c.unreached: {}}},
			}
			got, found := presumedOwner(b, []string{"lisbon_2"}, "bookings", c.key)
			is.Equal(found, c.found)
			is.True(!found || got == home)
		})
	}
}
