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
	// chainLength is the number of services in the ordinary call chain, and maxChainLength in the longest one.
	chainLength      = 6
	maxChainLength   = 12
	attemptAllowance = 2
)

// chainDeployment returns a chain of services, each of which calls the next.
func chainDeployment(levels, instances int, serviceTime time.Duration) fleet.Deployment {
	d := fleet.Deployment{Zones: []string{"lisbon_1", "lisbon_2"}}
	for level := range levels {
		name := levelName(level)
		b := server.Behaviour{ServiceTime: serviceTime, Queue: 10}
		if level+1 < levels {
			b.Calls = []server.DownstreamCall{{Service: levelName(level + 1), Method: http.MethodGet, Path: "/look"}}
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

func levelName(level int) string {
	return fmt.Sprint("level", level)
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
`, name, attemptAllowance)
}

// setAllBehaviours applies the change to the behaviour of every backend server.
func setAllBehaviours(f *fleet.Fleet, change func(*server.Behaviour)) {
	for _, n := range f.Nodes {
		b := n.Server.Behaviour()
		change(&b)
		n.Server.SetBehaviour(b)
	}
}

// runsByRequest returns the number of runs of each request at each service.
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

func lookupStream(rate float64, resends int) load.Stream {
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

// Retries at each level of a call chain multiply with those above. Here two fifths of the runs at every level fail, and a node in the
// middle is killed while callers resend; the runs of a request must stay within the attempt allowance.
func TestRetriesAreBoundedAlongCallChain(t *testing.T) {
	f := harness.Start(t, fleet.Config{Deployment: chainDeployment(chainLength, 2, 5*time.Millisecond)})
	setAllBehaviours(f, func(b *server.Behaviour) { b.FailRate = 0.4 })
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		time.Sleep(1500 * time.Millisecond)
		f.Nodes[7].Kill() // a node of the fourth service, whose replies are lost
	})
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{lookupStream(60, 3)},
		Targets:  f.Callers(),
		Duration: 3 * time.Second,
		Seed:     1,
	})
	checkRuns(t, f, results, chainLength)
}

// The longest call chain, in which retries multiply most: runs fail at every level and callers resend up to five times.
func TestRetriesAreBoundedAlongLongestCallChain(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, fleet.Config{Deployment: chainDeployment(maxChainLength, 2, 2*time.Millisecond)})
	setAllBehaviours(f, func(b *server.Behaviour) { b.FailRate = 0.3 })
	timer := time.AfterFunc(2*time.Second, f.Nodes[15].Kill) // a node of the eighth service, whose replies are lost
	defer timer.Stop()
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{lookupStream(20, 5)},
		Targets:  f.Callers(),
		Duration: 3 * time.Second,
		Seed:     1,
	})
	checkRuns(t, f, results, maxChainLength)
	for level := range maxChainLength {
		is.True(requestsRunAt(f, level) > 0) // the chain was followed to its end
	}
}

// checkRuns checks the ledgers against the limits in docs/RETRIES.md, which count each send as a separate root request.
func checkRuns(t *testing.T, f *fleet.Fleet, results []load.Result, levels int) {
	t.Helper()
	is := is.New(t)
	sends := map[string]int{}
	for _, r := range results {
		sends[r.ID] = r.Sends
	}
	sent, ran, retried, totalRetries := 0, 0, 0, 0
	for request, byService := range runsByRequest(f) {
		is.True(sends[request] > 0)
		roots := min(sends[request], byService[levelName(0)]) // sends that did not run at level 0 were refused
		runs, retries := 0, 0
		expected := roots // each run makes one call, so additional runs are retries
		for level := range levels {
			levelRuns := byService[levelName(level)]
			if levelRuns > roots*(1+attemptAllowance) {
				t.Errorf("%s ran %d times at level %d for %d root requests", request, levelRuns, level, roots)
			}
			runs += levelRuns
			retries += max(0, levelRuns-expected)
			retried += max(0, levelRuns-sends[request])
			expected = levelRuns
		}
		if retries > roots*attemptAllowance {
			t.Errorf("%s had %d retries for %d root requests", request, retries, roots)
		}
		if runs > levels*roots*(1+attemptAllowance) {
			t.Errorf("%s ran %d times in all for %d root requests", request, runs, roots)
		}
		sent += sends[request]
		ran += runs
		totalRetries += retries
	}
	t.Logf("%d sends, %d runs, at least %d retries", sent, ran, totalRetries)
	is.True(retried > 0) // without retries the limit is not tested
}

// requestsRunAt returns the number of requests that ran at the level.
func requestsRunAt(f *fleet.Fleet, level int) int {
	ran := 0
	for _, byService := range runsByRequest(f) {
		if byService[levelName(level)] > 0 {
			ran++
		}
	}
	return ran
}
