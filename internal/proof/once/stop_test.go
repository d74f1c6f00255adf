package once_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/once"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	// newWorkTimeout is how long a backend server may still get new requests after it has begun to leave.
	newWorkTimeout = 2 * time.Second
	// ledgerWatchTime is how long runs are recorded after a backend server has begun to leave.
	ledgerWatchTime = 4 * time.Second
	// longServiceTime is a service time at which some requests are in flight throughout a stop. A handover waits for runs to
	// end, so a deadline must leave time for two runs.
	longServiceTime = 400 * time.Millisecond
	longDeadline    = "deadline = 5s"
	// callerCount is half of the initial in-flight limits of the three remaining nodes (8 each), so that any refusal is caused
	// by the stop and not by a lack of capacity.
	callerCount = 12
)

// stopMethods are the ways to make a backend server leave.
var stopMethods = map[string]func(t *testing.T, n *fleet.Node){
	"SIGTERM": func(_ *testing.T, n *fleet.Node) { n.Terminate() },
	"operator's drain": func(t *testing.T, n *fleet.Node) {
		client := operator.NewClient(operator.ClientConfig{Address: n.Operator, Token: fleet.OperatorToken, Timeout: 5 * time.Second})
		is.New(t).NoErr(client.Drain(t.Context()))
	},
	"announcement": func(_ *testing.T, n *fleet.Node) {
		leaving := n.Server.Behaviour()
		leaving.Leaving = true
		n.Server.SetBehaviour(leaving)
	},
}

// A backend server that leaves under load must get no new requests after newWorkTimeout, its node must exit, and no request in
// flight may be interrupted. A node that exits before its handover, or peers that learn of the drain late, would fail requests.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	deployment := once.Deployment(6)
	deployment.Services[0].Slots = 20
	deployment.Services[0].Document = strings.ReplaceAll(deployment.Services[0].Document, "deadline = 1s", longDeadline)
	deployment.Services[0].Behaviour = server.Behaviour{ServiceTime: longServiceTime, Queue: 50}
	f := harness.Start(t, fleet.Config{Deployment: deployment})
	harness.Eventually(t, 20*time.Second, func() bool { return allOwnersKnown(t, f) })
	running, stop := context.WithCancel(t.Context())
	var report once.Report
	var group conc.WaitGroup
	group.Go(func() {
		report = once.Run(running, once.Config{Fleet: f, Service: "bookings", Duration: time.Minute, Callers: callerCount, NoFaults: true, SingleSend: true})
	})
	leaving := f.Nodes
	for name, begin := range stopMethods {
		n := leaving[0]
		leaving = leaving[1:]
		t.Run(name, func(t *testing.T) { leaveUnderLoad(t, f, n, begin) })
	}
	stop()
	group.Wait()
	for _, v := range report.Violations {
		t.Error(v)
	}
	for _, s := range report.Failed {
		t.Errorf("status %d, outcome %s (%s) %s, key %q, after %s", s.Status, s.Outcome, s.Reason, s.Error, s.Key, s.End.Sub(s.Begin))
	}
}

func leaveUnderLoad(t *testing.T, f *fleet.Fleet, n *fleet.Node, begin func(*testing.T, *fleet.Node)) {
	is := is.New(t)
	harness.Eventually(t, 20*time.Second, func() bool { return n.Server.Busy() > 0 })
	leaveStart := time.Now()
	begin(t, n)
	harness.Eventually(t, 20*time.Second, func() bool { return hasEnded(t, n) })
	time.Sleep(time.Until(leaveStart.Add(ledgerWatchTime)))

	is.True(lastStart(n).Before(leaveStart.Add(newWorkTimeout)))
	for _, r := range n.Server.Ledger().Runs() {
		is.Equal(r.Ended, r.Started) // no run was interrupted
	}
	latest := slices.MaxFunc(f.Nodes, func(a, b *fleet.Node) int { return lastStart(a).Compare(lastStart(b)) })
	is.True(lastStart(latest).After(leaveStart.Add(newWorkTimeout))) // requests were still being sent
}

// lastStart returns the time of the last start of a request on the node's backend server.
func lastStart(n *fleet.Node) time.Time {
	var last time.Time
	for _, r := range n.Server.Ledger().Runs() {
		if r.Last.After(last) {
			last = r.Last
		}
	}
	return last
}
