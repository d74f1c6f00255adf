package fleet_test

import (
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m))
}

func TestRequestRunsOnceOnEachService(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, fleet.Config{Deployment: fleet.Chain()})
	results := load.Run(t.Context(), load.Config{
		Streams: []load.Stream{{
			Name:    "sheets",
			Service: "crew-scheduling",
			Method:  http.MethodGet,
			Path:    "/urgent/sheets",
			Rate:    50,
			Timeout: 5 * time.Second,
		}},
		Targets:  f.Callers(),
		Duration: time.Second,
		Seed:     1,
	})
	is.True(len(results) > 0)
	for _, r := range results {
		is.Equal(r.Status, http.StatusOK)
		is.Equal(r.Outcome, "ran")
	}
	runs := map[string]int{}
	for _, n := range f.Nodes {
		for _, r := range n.Server.Ledger().Runs() {
			runs[n.Service] += r.Ended
		}
	}
	is.Equal(runs["crew-scheduling"], len(results)) // each request ran once on the first service
	is.Equal(runs["access"], len(results))          // and called the second service once
}
