package zone_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/zonepb"
)

func TestRenewalRecipients(t *testing.T) {
	structure := func(value []byte) membership.Structure {
		return membership.Structure{Term: uint64(value[0]), Zone: string(value[1:])}
	}
	for name, c := range map[string]struct {
		renewer string
		term    byte
		sender  *zonepb.BeatRequest
		got     int
	}{
		"own zone's renewal, to its member":                      {renewer: "lisbon_1", term: 1, sender: &zonepb.BeatRequest{Zone: "lisbon_1"}, got: 1},
		"own zone's renewal, to another leader":                  {renewer: "lisbon_1", term: 1, sender: &zonepb.BeatRequest{Zone: "lisbon_2", Leads: true}, got: 1},
		"own zone's renewal, to another zone's member":           {renewer: "lisbon_1", term: 1, sender: &zonepb.BeatRequest{Zone: "lisbon_2"}},
		"another zone's renewal, to a member":                    {renewer: "lisbon_3", term: 1, sender: &zonepb.BeatRequest{Zone: "lisbon_1"}},
		"another zone's renewal, to another leader":              {renewer: "lisbon_3", term: 1, sender: &zonepb.BeatRequest{Zone: "lisbon_2", Leads: true}},
		"another zone's new structure, to a member":              {renewer: "lisbon_3", term: 2, sender: &zonepb.BeatRequest{Zone: "lisbon_1"}, got: 1},
		"another zone's new structure, to another zone's member": {renewer: "lisbon_3", term: 2, sender: &zonepb.BeatRequest{Zone: "lisbon_2"}, got: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			loop := board.NewLoop(board.Board{Self: board.Self{Node: "access_0", Zone: "lisbon_1"}})
			var group conc.WaitGroup
			t.Cleanup(group.Wait)
			group.Go(func() { loop.Run(t.Context()) })
			controller := zone.NewController(zone.Config{
				Board:       loop,
				Timing:      zone.DefaultTiming,
				Sections:    map[string]zone.Section{"homes/": {Structure: structure}},
				Incarnation: 1,
			})
			record := func(epoch uint64, term byte) membership.Record {
				value := append([]byte{term}, c.renewer...)
				return membership.Record{Key: "homes/x", Version: membership.Version{Epoch: epoch}, Value: value}
			}
			server := zone.NewServer(controller)
			controller.Offer(t.Context(), record(1, 1))
			before, err := server.Beat(t.Context(), &zonepb.BeatRequest{Zone: c.sender.Zone, Leads: c.sender.Leads})
			is.NoErr(err)
			is.Equal(len(before.GetNewer()), 1) // A node that joins gets all records.
			controller.Offer(t.Context(), record(2, c.term))
			c.sender.Log, c.sender.Seen = before.GetLog(), before.GetNext()
			after, err := server.Beat(t.Context(), c.sender)
			is.NoErr(err)
			is.Equal(len(after.GetNewer()), c.got)
			is.Equal(after.GetDigest() == before.GetDigest(), c.term == 1)
		})
	}
}
