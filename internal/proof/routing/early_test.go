package routing_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	deepSlots       = 5
	deepServiceTime = 50 * time.Millisecond
	deepInstances   = 2
	// deepCapacity is the capacity of the deep service in requests a second.
	deepCapacity = deepSlots * deepInstances * int(time.Second/deepServiceTime)
)

// shallowAndDeep returns a service with much capacity that calls one with little.
func shallowAndDeep() fleet.Deployment {
	return fleet.Deployment{
		Zones: []string{"lisbon_1", "lisbon_2"},
		Services: []fleet.Service{
			{
				Name: "level0", Document: levelDocument("level0"), Instances: 2, Slots: 100, Connections: 300,
				Behaviour: server.Behaviour{
					ServiceTime: 5 * time.Millisecond,
					Queue:       100,
					Calls:       []server.DownstreamCall{{Service: "level1", Method: http.MethodGet, Path: "/look"}},
				},
			},
			{
				Name: "level1", Document: levelDocument("level1"), Instances: deepInstances, Slots: deepSlots, Connections: 50,
				Behaviour: server.Behaviour{ServiceTime: deepServiceTime, Queue: 10},
			},
		},
	}
}

// tally counts the requests that were sent within a time range, and those of them that succeeded.
type tally struct {
	sent int
	good int
}

func tallyBetween(results []load.Result, from, to time.Duration) tally {
	var sum tally
	for _, r := range results {
		if r.Sent < from || r.Sent >= to {
			continue
		}
		sum.sent++
		if r.OK() {
			sum.good++
		}
	}
	return sum
}

// Requests that a downstream service will shed must be refused at the entry node. If they run at the first service before they are
// shed, its work is wasted.
func TestEntryRefusesWhenDeepServiceSheds(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, fleet.Config{Deployment: shallowAndDeep()})
	const seconds = 5
	base, flood := lookupStream(float64(deepCapacity)/2, 0), lookupStream(2*float64(deepCapacity), 0)
	flood.Name, flood.Stop = "flood", 3*time.Second
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{base, flood},
		Targets:  f.Callers(),
		Duration: seconds * time.Second,
		Seed:     1,
	})
	during := tallyBetween(results, time.Second, 3*time.Second)
	after := tallyBetween(results, 4*time.Second, seconds*time.Second)
	runs, good := 0, tallyBetween(results, 0, seconds*time.Second).good
	for _, byService := range runsByRequest(f) {
		runs += byService["level0"]
	}
	t.Logf("flood: %d of %d requests succeeded in 2 s, capacity %d/s; after: %d of %d; %d runs at level 0 for %d successes",
		during.good, during.sent, deepCapacity, after.good, after.sent, runs, good)
	is.True(runs-good < good/2) // without refusal at the entry node every request of the flood runs at level 0
	is.True(float64(after.good) >= 0.95*float64(after.sent))
}
