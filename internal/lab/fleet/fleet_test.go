package fleet_test

import (
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

// binary is the product's program, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "fleet")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if binary, err = fleet.Build(context.Background(), directory); err != nil {
		panic(err)
	}
	return m.Run()
}

// start starts the deployment and waits until it is ready.
func start(t *testing.T, d fleet.Deployment) *fleet.Fleet {
	t.Helper()
	is := is.New(t)
	f, err := fleet.Start(t.Context(), fleet.Config{Binary: binary, Deployment: d, Output: t.Output()})
	t.Cleanup(f.Stop)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	is.NoErr(f.WaitReady(ctx))
	return f
}

func TestWholePath(t *testing.T) {
	is := is.New(t)
	f := start(t, fleet.Chain())
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
	is.Equal(runs["access"], len(results))          // and called the second once
}
