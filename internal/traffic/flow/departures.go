package flow

import (
	"sync"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// departures remembers the backend servers that have said that they leave. A node that restarts beside one may have
// forgotten it.
type departures struct {
	mu sync.Mutex
	// startByNode holds the start of the backend server that leaves, by the node beside it.
	startByNode map[string]string
}

func newDepartures() *departures {
	return &departures{startByNode: map[string]string{}}
}

// record records that the start of the backend server beside the node leaves. It forgets nodes that are no members.
func (d *departures) record(members board.Members, node, start string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.startByNode[node] == start {
		return
	}
	for known := range d.startByNode {
		if _, isMember := members.ByNode[known]; !isMember {
			delete(d.startByNode, known)
		}
	}
	d.startByNode[node] = start
}

// nodes returns the nodes among the members whose present backend server leaves.
func (d *departures) nodes(members []membership.Member) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.startByNode) == 0 {
		return nil
	}
	var nodes []string
	for _, m := range members {
		if m.BackendStart != "" && d.startByNode[m.Node] == m.BackendStart {
			nodes = append(nodes, m.Node)
		}
	}
	return nodes
}
