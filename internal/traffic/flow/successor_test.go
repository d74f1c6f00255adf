package flow

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// Guards against a drain that offers its keys to the same node again and again, because it is the best successor and
// refuses them: it leaves, too.
func TestSuccessorIsNoneThatRefused(t *testing.T) {
	member := func(node, service, zone string) membership.Member {
		return membership.Member{Node: node, Service: service, Zone: zone, State: membership.Up, Incarnation: 7}
	}
	b := &board.Board{
		Self:    board.Self{Node: "node_1", Zone: "zone_1"},
		Backend: board.Backend{Service: "bookings"},
		Members: board.Members{ByNode: map[string]membership.Member{
			"node_1": member("node_1", "bookings", "zone_1"),
			"node_2": member("node_2", "bookings", "zone_1"),
			"node_3": member("node_3", "bookings", "zone_2"),
			"node_4": member("node_4", "keys", "zone_1"),
		}},
	}
	refused := map[string]uint64{}
	for _, want := range []string{"node_2", "node_3", "node_4"} {
		is := is.New(t)
		successor, ok := ChooseSuccessor(b, refused)
		is.True(ok)
		is.Equal(successor.Node, want)
		refused[want] = successor.Incarnation
	}
	_, ok := ChooseSuccessor(b, refused)
	is.New(t).True(!ok)
	refused["node_2"]-- // an earlier process of the node refused
	successor, ok := ChooseSuccessor(b, refused)
	is.New(t).True(ok && successor.Node == "node_2")
}
