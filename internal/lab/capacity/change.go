package capacity

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
)

const (
	// changeTimeout limits the time until a change is in force on all nodes.
	changeTimeout = 30 * time.Second
	// changePoll is the time between two checks of a node that has not applied a change yet.
	changePoll = 100 * time.Millisecond
	// operatorTimeout is the timeout of one call of the administration API.
	operatorTimeout = 5 * time.Second
)

// changeDocuments changes documents through several nodes in turn and returns, for each change, the time from its
// acceptance until the last node had it in force. It uses the nodes' clocks, which are the same clock on a single
// machine.
func changeDocuments(ctx context.Context, f *fleet.Fleet, changes int) ([]time.Duration, error) {
	var durations []time.Duration
	for i := range changes {
		n := f.Nodes[i*len(f.Nodes)/changes]
		d, err := changeDocument(ctx, f, n, i+1)
		if err != nil {
			return durations, trace.Wrap(err)
		}
		durations = append(durations, d)
	}
	return durations, nil
}

func changeDocument(ctx context.Context, f *fleet.Fleet, n *fleet.Node, edit int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	client := operator.NewClient(operator.ClientConfig{Address: n.Operator, Token: fleet.OperatorToken, Timeout: operatorTimeout})
	current, err := client.Get(ctx, n.Service)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	stored, err := client.Put(ctx, n.Service, []byte(documentOf(n.Service, edit)), current.Tag(), "")
	if err != nil {
		return 0, trace.Wrap(err)
	}
	accepted := time.Now()
	last := accepted
	for _, other := range f.Nodes {
		at, err := awaitInForce(ctx, other, n.Service, stored.Revision)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Sub(accepted), nil
}

// awaitInForce waits until the node has the revision in force and returns the time since which it has.
func awaitInForce(ctx context.Context, n *fleet.Node, service string, revision uint64) (time.Time, error) {
	for {
		dump, err := fleet.FetchDump(ctx, n.Backend)
		if err == nil {
			if d := dump.Board.Documents.ByService[service]; d.Revision >= revision {
				return d.InForceSince, nil
			}
		}
		if err := sleep(ctx, changePoll); err != nil {
			return time.Time{}, trace.Wrap(err, "node %s does not have revision %d in force", n.Name, revision)
		}
	}
}
