package once_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/once"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// allOwnersKnown reports whether every node knows all members and the current key owners of all availability zones.
func allOwnersKnown(t *testing.T, f *fleet.Fleet) bool {
	zones := map[string]bool{}
	for _, n := range f.Nodes {
		zones[n.Zone] = true
	}
	for _, n := range f.Nodes {
		dump, err := fleet.FetchDump(t.Context(), n.Backend)
		if err != nil || dump.Board.Members.CountAcceptingRequests() != len(f.Nodes) {
			return false
		}
		for _, s := range dump.Board.KeyOwners.Shards {
			if s.Last().Until < time.Now().UnixMilli() {
				return false
			}
		}
		if len(dump.Board.KeyOwners.Shards) < len(zones) {
			return false
		}
	}
	return true
}

// rollingReplacement is a deployment whose nodes are replaced in rounds; the nodes of a round are replaced concurrently.
type rollingReplacement struct {
	deployment fleet.Deployment
	rounds     [][]int
}

// chainDeployment returns three services with one instance in each of three zones. A booking makes an idempotent call to one of
// the other services and a non-idempotent call to the other.
func chainDeployment() fleet.Deployment {
	d := once.Deployment(3)
	bookings := &d.Services[0]
	bookings.Slots = 20
	bookings.Behaviour.ServiceTime = 50 * time.Millisecond
	bookings.Behaviour.Calls = []server.DownstreamCall{
		{Service: "access", Method: http.MethodGet, Path: "/windows"},
		{Service: "deposits", Method: http.MethodPost, Path: "/bookings"},
	}
	for _, name := range []string{"access", "deposits"} {
		s := *bookings
		s.Name = name
		s.Document = strings.ReplaceAll(s.Document, "name = bookings", "name = "+name)
		s.Behaviour.Calls = nil
		d.Services = append(d.Services, s)
	}
	return d
}

func threeInstances() fleet.Deployment {
	d := once.Deployment(3)
	d.Services[0].Slots = 20
	d.Services[0].Behaviour.ServiceTime = 100 * time.Millisecond
	return d
}

// Every node is replaced under load while callers use the nodes that are up. A request that is lost with a stopping node, or sent to
// one that has stopped, would fail here.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	for name, r := range map[string]rollingReplacement{
		"one service, one after the other": {deployment: threeInstances(), rounds: [][]int{{0}, {1}, {2}}},
		"nine nodes, one of each service and zone at the same time": {
			deployment: chainDeployment(),
			rounds:     [][]int{{0, 4, 8}, {1, 5, 6}, {2, 3, 7}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r.replace(t)
		})
	}
}

func (r rollingReplacement) replace(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, fleet.Config{Deployment: r.deployment})
	harness.Eventually(t, 20*time.Second, func() bool { return allOwnersKnown(t, f) })
	running, stop := context.WithCancel(t.Context())
	var report once.Report
	var group conc.WaitGroup
	group.Go(func() {
		report = once.Run(running, once.Config{Fleet: f, Service: "bookings", Duration: time.Minute, Callers: 6, NoFaults: true, SingleSend: true})
	})
	for _, round := range r.rounds {
		var replaced conc.WaitGroup
		for _, i := range round {
			replaced.Go(func() {
				f.Nodes[i].Terminate()
				is.NoErr(f.Nodes[i].Start())
			})
		}
		replaced.Wait()
		harness.Eventually(t, 20*time.Second, func() bool { return allOwnersKnown(t, f) })
	}
	stop()
	group.Wait()
	for _, v := range report.Violations {
		t.Error(v)
	}
	for _, s := range report.Failed {
		t.Errorf("request at %s to %s: status %d, outcome %s (%s) %s, key %q", s.Begin.Format("05.000"), s.Target, s.Status, s.Outcome, s.Reason, s.Error, s.Key)
	}
	is.True(report.Outcomes["ran"] > 0)
}
