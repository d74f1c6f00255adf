package routing_test

import (
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

// plain is one service whose requests are never tried again, so that each failure is seen.
func plain(instances int) fleet.Deployment {
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

func TestFastFailingServerDoesNotAttractRequests(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, fleet.Config{Deployment: plain(3)})
	b := f.Nodes[0].Server.Behaviour()
	b.FailFast = true
	f.Nodes[0].Server.SetBehaviour(b)
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{lookups(100, 0)},
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
	is.True(10*failed < len(results)) // an equal part would be a third
}
