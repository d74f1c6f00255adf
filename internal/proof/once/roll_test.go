package once_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/once"
	"github.com/comfreyhoist/comfreyhoist/internal/process/node"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// settled reports whether every node knows all members and the homes of all availability zones.
func settled(t *testing.T, f *fleet.Fleet) bool {
	zones := map[string]bool{}
	for _, n := range f.Nodes {
		zones[n.Zone] = true
	}
	for _, n := range f.Nodes {
		dump, err := fleet.FetchDump(t.Context(), n.Backend)
		if err != nil || instances(dump) != len(f.Nodes) {
			return false
		}
		for _, s := range dump.Board.Homes.Shards {
			if s.Last().Until < time.Now().UnixMilli() {
				return false
			}
		}
		if len(dump.Board.Homes.Shards) < len(zones) {
			return false
		}
	}
	return true
}

// instances returns how many instances of all services the node knows.
func instances(dump node.Dump) int {
	count := 0
	for _, members := range dump.Board.Members.ByService {
		count += len(members)
	}
	return count
}

// Every node is replaced, one after the other, while callers use the nodes that are up. No answer may fail.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := once.Deployment(3)
	deployment.Services[0].Slots = 20
	deployment.Services[0].Behaviour.ServiceTime = 100 * time.Millisecond
	f := harness.Start(t, fleet.Config{Deployment: deployment})
	harness.Eventually(t, 20*time.Second, func() bool { return settled(t, f) })
	running, stop := context.WithCancel(t.Context())
	var report once.Report
	var group conc.WaitGroup
	group.Go(func() {
		report = once.Run(running, once.Config{Fleet: f, Service: "bookings", Duration: time.Minute, Callers: 6, Calm: true, Polite: true})
	})
	for _, n := range f.Nodes {
		n.Terminate()
		is.NoErr(n.Start())
		harness.Eventually(t, 20*time.Second, func() bool { return settled(t, f) })
	}
	stop()
	group.Wait()
	for _, v := range report.Violations {
		t.Error(v)
	}
	for _, s := range report.Failed {
		t.Errorf("a caller got %d %s (%s) %s under %q", s.Status, s.Outcome, s.Reason, s.Error, s.Key)
	}
	is.True(report.Outcomes["ran"] > 0)
}
