package shell_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	// roundsPerSeed is the number of rounds; the faults change before each.
	roundsPerSeed = 3
	// requestsPerRound requests are sent by concurrentCallers callers.
	requestsPerRound  = 40
	concurrentCallers = 12
	// Bodies are long so that flipped bits fall into them; TestDamagedFieldsAreDetected covers the other fields.
	minBodyBytes = 2 << 10
	maxBodyBytes = 24 << 10
)

// bookingsNodes are the instances behind the entry node.
var bookingsNodes = []string{"bookings_0", "bookings_1", "bookings_2"}

// linkFaults are the faults of a link between two nodes.
var linkFaults = map[string]proxy.Fault{
	"none":      {},
	"late":      {Delay: 5 * time.Millisecond, Jitter: 60 * time.Millisecond},
	"crossed":   {SwapChunks: true},
	"doubled":   {Duplicate: true},
	"truncated": {TruncateAfter: 20 << 10},
	"corrupted": {Corrupt: true},
}

// faultNames gives the faults a fixed order and weights, so that a seed determines the sequence of faults.
var faultNames = []string{"none", "none", "late", "late", "crossed", "crossed", "doubled", "truncated", "corrupted"}

// TestEveryCallerGetsItsOwnResponse guards against responses that are mixed up, cut short or altered. It sends many different bodies
// concurrently while chunks between the nodes are delayed, swapped, duplicated, truncated and corrupted, and checks each response
// against its request and the backend servers' ledgers.
func TestEveryCallerGetsItsOwnResponse(t *testing.T) {
	t.Parallel()
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: deployment(len(bookingsNodes)), Seed: 1})
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			var exchanges []exchange
			for range roundsPerSeed {
				setFaults(f, random)
				exchanges = append(exchanges, sendMany(t, f, random)...)
			}
			f.Network.Clear()
			checkExchanges(t, f, exchanges)
		})
	}
}

// setFaults sets a random fault for each direction of each link of the entry node.
func setFaults(f *fleet.Fleet, random *rand.Rand) {
	entry := f.Nodes[0].Name
	for _, name := range bookingsNodes {
		f.Network.Set(entry, name, linkFaults[faultNames[random.IntN(len(faultNames))]])
		f.Network.Set(name, entry, linkFaults[faultNames[random.IntN(len(faultNames))]])
	}
}

// The paths of the non-idempotent and of the idempotent kind.
const (
	bookingPath = "/bookings"
	statusPath  = "/bookings/status"
)

// defaultDeadline is the deadline of a request in milliseconds.
const defaultDeadline = "1000"

// exchange is one request and its response.
type exchange struct {
	id   string
	path string
	key  string
	// deadline is in milliseconds; empty for defaultDeadline.
	deadline     string
	body         []byte
	status       int
	outcome      string
	responseBody []byte
	err          error
}

func sendMany(t *testing.T, f *fleet.Fleet, random *rand.Rand) []exchange {
	t.Helper()
	exchanges := make([]exchange, requestsPerRound)
	for i := range exchanges {
		a := exchange{id: fmt.Sprintf("r-%x", random.Uint64()), path: bookingPath, body: randomBody(random)}
		if random.IntN(2) == 0 {
			a.path = statusPath
		}
		exchanges[i] = a
	}
	sendAll(t, f, exchanges)
	return exchanges
}

// sendAll sends the requests with concurrentCallers callers and fills in their responses.
func sendAll(t *testing.T, f *fleet.Fleet, exchanges []exchange) {
	t.Helper()
	callers := pool.New().WithMaxGoroutines(concurrentCallers)
	for i := range exchanges {
		callers.Go(func() { send(t.Context(), f.Nodes[0].Caller, &exchanges[i]) })
	}
	callers.Wait()
}

func randomBody(random *rand.Rand) []byte {
	body := make([]byte, minBodyBytes+random.IntN(maxBodyBytes-minBodyBytes))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	return body
}

func send(ctx context.Context, address string, a *exchange) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/call/bookings"+a.path, bytes.NewReader(a.body))
	if err != nil {
		a.err = err
		return
	}
	request.Header.Set(server.RequestHeader, a.id)
	if a.key != "" {
		request.Header.Set(keyHeader, a.key)
	}
	request.Header.Set(deadlineHeader, cmp.Or(a.deadline, defaultDeadline))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.responseBody, a.err = io.ReadAll(response.Body)
	a.status, a.outcome = response.StatusCode, response.Header.Get("Comfreyhoist-Outcome")
}

func checkExchanges(t *testing.T, f *fleet.Fleet, exchanges []exchange) {
	t.Helper()
	started := startedByRequest(f)
	counts := outcomesOf(exchanges)
	for _, a := range exchanges {
		is := is.New(t)
		is.NoErr(a.err)                                      // the caller's connection has no fault
		is.True(a.path != bookingPath || started[a.id] <= 1) // a booking runs at most once
		switch a.outcome {
		case "ran":
			is.Equal(a.status, http.StatusOK)
			is.True(bytes.Equal(a.responseBody, a.body)) // the complete response to the request
			is.True(started[a.id] > 0)
		case "not_run":
			is.True(a.status >= http.StatusBadRequest)
			is.Equal(started[a.id], 0) // reported as not run
		case "not_admitted", "unknown":
			is.True(a.status >= http.StatusBadRequest)
		default:
			t.Errorf("request %s: outcome %q", a.id, a.outcome)
		}
	}
	t.Logf("outcomes: %v", counts)
	is.New(t).True(counts["ran"] > 0)
}

func startedByRequest(f *fleet.Fleet) map[string]int {
	started := map[string]int{}
	for _, n := range f.Nodes {
		for _, r := range n.Server.Ledger().Runs() {
			started[r.Request] += r.Started
		}
	}
	return started
}
