package routing_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m))
}

const (
	levels    = 6
	allowance = 2
)

// deepChain is a chain of services, each of which calls the next.
func deepChain(instances int, serviceTime time.Duration) fleet.Deployment {
	d := fleet.Deployment{Zones: []string{"lisbon_1", "lisbon_2"}}
	for level := range levels {
		name := fmt.Sprintf("level%d", level)
		b := server.Behaviour{ServiceTime: serviceTime, Queue: 10}
		if level+1 < levels {
			b.Calls = []server.Downstream{{Service: fmt.Sprintf("level%d", level+1), Method: http.MethodGet, Path: "/look"}}
		}
		d.Services = append(d.Services, fleet.Service{
			Name:        name,
			Document:    levelDocument(name),
			Instances:   instances,
			Slots:       10,
			Connections: 50,
			Behaviour:   b,
		})
	}
	return d
}

func levelDocument(name string) string {
	return fmt.Sprintf(`[service]
name = %s
team = proofs
attempts = %d

[kind look]
path = /look
rank = 3
idempotent = true
deadline = 3s
`, name, allowance)
}

// setAll changes the behaviour of every backend server.
func setAll(f *fleet.Fleet, change func(*server.Behaviour)) {
	for _, n := range f.Nodes {
		b := n.Server.Behaviour()
		change(&b)
		n.Server.SetBehaviour(b)
	}
}

// runsByRequest sums up the ledgers: runs of each request at each service.
func runsByRequest(f *fleet.Fleet) map[string]map[string]int {
	runs := map[string]map[string]int{}
	for _, n := range f.Nodes {
		for _, r := range n.Server.Ledger().Runs() {
			if runs[r.Request] == nil {
				runs[r.Request] = map[string]int{}
			}
			runs[r.Request][n.Service] += r.Started
		}
	}
	return runs
}

func lookups(rate float64, resends int) load.Stream {
	return load.Stream{
		Name:    "lookups",
		Service: "level0",
		Method:  http.MethodGet,
		Path:    "/look",
		Rate:    rate,
		Resends: resends,
		Timeout: 3 * time.Second,
	}
}

func TestRetriesBoundedDownTheChain(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, fleet.Config{Deployment: deepChain(2, 5*time.Millisecond)})
	setAll(f, func(b *server.Behaviour) { b.FailRate = 0.4 })
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		time.Sleep(1500 * time.Millisecond)
		f.Nodes[7].Kill() // a node of the fourth level, whose replies are lost
	})
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{lookups(60, 3)},
		Targets:  f.Callers(),
		Duration: 3 * time.Second,
		Seed:     1,
	})
	sends := map[string]int{}
	retried := 0
	for _, r := range results {
		sends[r.ID] = r.Sends
	}
	for request, byService := range runsByRequest(f) {
		for service, runs := range byService {
			is.True(sends[request] > 0)
			if runs > sends[request]*(1+allowance) {
				t.Errorf("%s ran %d times on %s for %d sends", request, runs, service, sends[request])
			}
			retried += max(0, runs-sends[request])
		}
	}
	is.True(retried > 0) // nodes did try again, else the bound says nothing
}
