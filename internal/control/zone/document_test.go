package zone_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

const source = "[service]\nname = access\nteam = access-team\n\n[kind all]\npath = /*\nrank = 2\nidempotent = true\n"

func TestNewestDocumentWins(t *testing.T) {
	early := time.Unix(1_800_000_000, 0)
	edit := func(revision uint64, operation string, at time.Time) zone.StoredDocument {
		return zone.StoredDocument{Revision: revision, Source: source, Operation: operation, Time: at}
	}
	for name, c := range map[string]struct {
		first, second zone.StoredDocument
		newest        string
	}{
		"higher revision":                  {first: edit(1, "a", early), second: edit(2, "b", early.Add(-time.Hour)), newest: "b"},
		"lower revision":                   {first: edit(2, "a", early), second: edit(1, "b", early.Add(time.Hour)), newest: "a"},
		"same revision, later edit second": {first: edit(2, "a", early), second: edit(2, "b", early.Add(time.Second)), newest: "b"},
		"same revision, later edit first":  {first: edit(2, "a", early.Add(time.Second)), second: edit(2, "b", early), newest: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			loop := board.NewLoop(board.Board{Self: board.Self{Node: "access_0", Zone: "lisbon_1"}})
			var group conc.WaitGroup
			t.Cleanup(group.Wait)
			group.Go(func() { loop.Run(t.Context()) })
			controller := zone.NewController(zone.Config{
				Board:  loop,
				Log:    events.NewLog(io.Discard, zerolog.Disabled, "access_0"),
				Timing: zone.DefaultTiming,
			})
			for _, d := range []zone.StoredDocument{c.first, c.second} {
				r, err := d.Record(zone.DocumentPrefix + "access")
				is.NoErr(err)
				controller.Offer(t.Context(), r)
				r.Version = membership.Version{Epoch: 99}
				controller.Offer(t.Context(), r) // A version other than the document's own changes nothing.
			}
			is.Equal(loop.Snapshot().Documents.ByService["access"].Operation, c.newest)
		})
	}
}
