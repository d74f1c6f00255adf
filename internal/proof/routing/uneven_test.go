package routing_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// plainDeployment returns one service whose requests are never retried, so that callers see each failure.
func plainDeployment(instances int) fleet.Deployment {
	return fleet.Deployment{
		Zones: []string{"lisbon_1", "lisbon_2", "lisbon_3"},
		Services: []fleet.Service{{
			Name:     "level0",
			Document: strings.ReplaceAll(levelDocument("level0"), "attempts = 2", "attempts = 0"),
			Slots:    10, Connections: 50, Instances: instances,
			Behaviour: server.Behaviour{ServiceTime: 20 * time.Millisecond, Queue: 10},
		}},
	}
}

// A backend server that fails fast has the fewest requests in flight and the lowest latency. Routing by these alone would send it
// most requests.
func TestFastFailingServerDoesNotAttractRequests(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, fleet.Config{Deployment: plainDeployment(3)})
	b := f.Nodes[0].Server.Behaviour()
	b.FailFast = true
	f.Nodes[0].Server.SetBehaviour(b)
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{lookupStream(100, 0)},
		Targets:  f.Callers(),
		Duration: 3 * time.Second,
		Seed:     1,
	})
	failed := 0
	for _, r := range results {
		if r.Status == http.StatusInternalServerError {
			failed++
		}
	}
	t.Logf("%d of %d requests went to the failing server", failed, len(results))
	is.True(failed > 0)
	is.True(10*failed < len(results)) // an equal share would be a third
}

// queryEndpoint decodes the response of an endpoint of a backend server into the result.
func queryEndpoint(t *testing.T, n *fleet.Node, path string, result any) {
	t.Helper()
	response, err := http.Get("http://" + n.Server.Address() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		t.Fatal(err)
	}
}

const (
	// ordinaryServiceTime is the service time of a good backend server; that of a slow one is slowFactor times as long.
	ordinaryServiceTime = 100 * time.Millisecond
	slowFactor          = 4
	// unevenSlots is the number of slots of each backend server, and unevenCapacity the capacity of a good and a slow one
	// together, in requests a second.
	unevenSlots    = 10
	unevenCapacity = unevenSlots * float64(time.Second/ordinaryServiceTime) * (1 + 1.0/slowFactor)
)

// Backend servers may report a wrong health and load: here a failing and a slow one report to be healthy and idle, and the good one to
// be failing and full. Routing must go by observed results, not by these endpoints.
func TestFalseEndpointReportsDoNotAffectRouting(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, fleet.Config{Deployment: plainDeployment(3)})
	failing, slow, good := f.Nodes[0], f.Nodes[1], f.Nodes[2]
	idle, full := &server.Load{Slots: unevenSlots}, &server.Load{Slots: unevenSlots, Busy: unevenSlots, Waiting: unevenSlots}
	for n, e := range map[*fleet.Node]server.EndpointFaults{
		failing: {Health: server.Healthy, Load: idle},
		slow:    {Health: server.Healthy, Load: idle},
		good:    {Health: server.Failing, Load: full},
	} {
		b := n.Server.Behaviour()
		b.ServiceTime, b.Endpoints = ordinaryServiceTime, e
		b.FailFast = n == failing
		if n == slow {
			b.ServiceTime *= slowFactor
		}
		n.Server.SetBehaviour(b)
	}
	const learnTime, end = 2 * time.Second, 5 * time.Second
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{lookupStream(1.6*unevenCapacity, 0)},
		Targets:  f.Callers(),
		Duration: end,
		Seed:     1,
	})
	failed := 0
	for _, r := range results {
		if r.Status == http.StatusInternalServerError {
			failed++
		}
	}
	rate := float64(tallyBetween(results, learnTime, end).good) / (end - learnTime).Seconds()
	t.Logf("goodput %.0f/s of a capacity of %.0f/s; %d of %d requests went to the failing server; runs: %d good, %d slow",
		rate, unevenCapacity, failed, len(results), len(good.Server.Ledger().Runs()), len(slow.Server.Ledger().Runs()))
	is.True(rate >= 0.9*unevenCapacity)
	is.True(10*failed < len(results)) // an equal share would be a third
	for _, n := range f.Nodes {
		is.Equal(n.Server.Report().Shed, 0)
		is.Equal(n.Server.Report().EndpointQueries, 0)
	}
	var health server.Health
	queryEndpoint(t, failing, server.HealthPath, &health)
	is.Equal(health, server.Healthy)
	queryEndpoint(t, good, server.HealthPath, &health)
	is.Equal(health, server.Failing)
}
