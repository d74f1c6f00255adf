package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

// A node that has just started and knows only some of the services and key owners must not serve callers yet.
func TestHasCompleteView(t *testing.T) {
	owner := outcome.Node{Name: "access_0", Incarnation: 3}
	member := membership.Member{Node: owner.Name, Incarnation: owner.Incarnation}
	restarted := membership.Member{Node: owner.Name, Incarnation: 4}
	successor := membership.Member{Node: "access_1", Incarnation: 5, AnswersFor: "access_0@3"}
	shards := map[string]outcome.Shard{"lisbon_1": {Epochs: []outcome.Epoch{{Members: []outcome.Member{{Node: owner}}}}}}
	documents := map[string]board.DocumentInForce{"access": {}}
	for name, tc := range map[string]struct {
		b    board.Board
		want bool
	}{
		"nothing": {},
		"everything": {want: true, b: board.Board{
			Documents: board.Documents{ByService: documents},
			Members: board.Members{
				ByNode:    map[string]membership.Member{owner.Name: member},
				ByService: map[string][]membership.Member{"access": {member}},
			},
			KeyOwners: board.KeyOwners{Shards: shards},
		}},
		"a service without instances": {b: board.Board{
			Documents: board.Documents{ByService: documents},
			Members:   board.Members{ByNode: map[string]membership.Member{owner.Name: member}},
			KeyOwners: board.KeyOwners{Shards: shards},
		}},
		"no shard": {b: board.Board{
			Documents: board.Documents{ByService: documents},
			Members: board.Members{
				ByNode:    map[string]membership.Member{owner.Name: member},
				ByService: map[string][]membership.Member{"access": {member}},
			},
		}},
		"a key owner that has restarted": {b: board.Board{
			Documents: board.Documents{ByService: documents},
			Members: board.Members{
				ByNode:    map[string]membership.Member{owner.Name: restarted},
				ByService: map[string][]membership.Member{"access": {restarted}},
			},
			KeyOwners: board.KeyOwners{Shards: shards},
		}},
		"a key owner that has restarted, and its successor": {want: true, b: board.Board{
			Documents: board.Documents{ByService: documents},
			Members: board.Members{
				ByNode:    map[string]membership.Member{owner.Name: restarted, successor.Node: successor},
				ByService: map[string][]membership.Member{"access": {restarted, successor}},
			},
			KeyOwners: board.KeyOwners{Shards: shards},
		}},
		"a key owner that is not a member": {b: board.Board{
			Documents: board.Documents{ByService: documents},
			Members:   board.Members{ByService: map[string][]membership.Member{"access": {member}}},
			KeyOwners: board.KeyOwners{Shards: shards},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(hasCompleteView(&tc.b, []string{"lisbon_1"}), tc.want)
		})
	}
}
