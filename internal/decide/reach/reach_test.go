package reach_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/reach"
)

var start = time.Unix(1_000_000, 0)

// An availability zone is cut off for six seconds. Few probes are sent to its nodes, and each node is found soon after
// the network has recovered.
func TestUnreachableNodeIsProbedRarelyAndFoundSoon(t *testing.T) {
	is := is.New(t)
	tracker := reach.NewTracker()
	const cut = 6 * time.Second
	is.True(tracker.MarkUnreachable(start, "node_1"))
	is.True(!tracker.MarkUnreachable(start, "node_1")) // many requests fail at the same time
	probes, found := 0, time.Duration(0)
	for at := time.Duration(0); found == 0; at += 10 * time.Millisecond {
		for range tracker.Due(start.Add(at)) {
			probes++
			if at >= cut {
				found = at
			}
		}
	}
	is.True(probes <= 15)
	is.True(found-cut <= 600*time.Millisecond)
	since, wasUnreachable := tracker.Clear("node_1")
	is.True(wasUnreachable)
	is.Equal(since, start)
	is.Equal(tracker.Len(), 0)
	is.Equal(len(tracker.Due(start.Add(time.Minute))), 0)
}

// Only the open connection to a node fails. A probe on a new connection reaches the node immediately.
func TestUnreachableNodeIsDueAtOnce(t *testing.T) {
	is := is.New(t)
	tracker := reach.NewTracker()
	tracker.MarkUnreachable(start, "node_2")
	tracker.MarkUnreachable(start, "node_1")
	is.Equal(tracker.Due(start), []string{"node_1", "node_2"})
	is.Equal(len(tracker.Due(start)), 0)
	_, wasUnreachable := tracker.Clear("node_3")
	is.True(!wasUnreachable)
}
