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
	// newWorkTimeout is how long after it begins to leave a backend server may still get new work.
	newWorkTimeout = 2 * time.Second
	// ledgerWatchTime is how long the ledgers are watched after that moment.
	ledgerWatchTime = 4 * time.Second
	// longServiceTime is what a request takes, so that some are in flight at every moment of a stop. A handover waits for
	// runs to end, so a deadline must leave time for two.
	longServiceTime = 400 * time.Millisecond
	longDeadline    = "deadline = 5s"
	// callerCount is half of what the three nodes that stay run at once before their limits have grown (8 each), so that
	// a request is refused for the stop and not for want of room.
	callerCount = 12
)

// stopMethods are the ways in which a backend server is made to leave.
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

// A backend server that leaves under load gets no new work after a few seconds, and nothing that it or its node has
// in flight is cut. The node ends by itself.
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
		t.Errorf("a caller got %d %s (%s) %s under %q after %s", s.Status, s.Outcome, s.Reason, s.Error, s.Key, s.End.Sub(s.Begin))
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
		is.Equal(r.Ended, r.Started) // nothing was cut
	}
	latest := slices.MaxFunc(f.Nodes, func(a, b *fleet.Node) int { return lastStart(a).Compare(lastStart(b)) })
	is.True(lastStart(latest).After(leaveStart.Add(newWorkTimeout))) // there was work to give
}

// lastStart returns when the node's backend server last got work.
func lastStart(n *fleet.Node) time.Time {
	var last time.Time
	for _, r := range n.Server.Ledger().Runs() {
		if r.Last.After(last) {
			last = r.Last
		}
	}
	return last
}
