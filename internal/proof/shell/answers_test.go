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
	// roundsPerSeed is how often the faults change.
	roundsPerSeed = 3
	// requestsPerRound are sent by callersAtOnce callers.
	requestsPerRound = 40
	callersAtOnce    = 12
	// Bodies are long, so that a flipped bit falls into them; TestDamagedFieldsAreFound is about the other fields.
	minBodyBytes = 2 << 10
	maxBodyBytes = 24 << 10
)

// bookingsNodes are the instances behind the entry node.
var bookingsNodes = []string{"bookings_0", "bookings_1", "bookings_2"}

// linkFaults are what can happen to the bytes between two nodes.
var linkFaults = map[string]proxy.Fault{
	"none":      {},
	"late":      {Delay: 5 * time.Millisecond, Jitter: 60 * time.Millisecond},
	"crossed":   {SwapChunks: true},
	"doubled":   {Duplicate: true},
	"truncated": {TruncateAfter: 20 << 10},
	"corrupted": {Corrupt: true},
}

// faultNames fixes the order and the weights, so that a seed gives one course of faults.
var faultNames = []string{"none", "none", "late", "late", "crossed", "crossed", "doubled", "truncated", "corrupted"}

// TestEveryCallerGetsItsOwnAnswer sends many different bodies at once while the bytes between the nodes are late,
// crossed, doubled, truncated and corrupted, and holds each answer against its request and the backend servers' ledgers.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	t.Parallel()
	f := harness.StartKilled(t, fleet.Config{Deployment: deployment(len(bookingsNodes)), Seed: 1})
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			var answers []answer
			for range roundsPerSeed {
				setFaults(f, random)
				answers = append(answers, sendMany(t, f, random)...)
			}
			f.Network.Clear()
			checkAnswers(t, f, answers)
		})
	}
}

// setFaults gives each direction of each link from the entry a fault of its own.
func setFaults(f *fleet.Fleet, random *rand.Rand) {
	entry := f.Nodes[0].Name
	for _, name := range bookingsNodes {
		f.Network.Set(entry, name, linkFaults[faultNames[random.IntN(len(faultNames))]])
		f.Network.Set(name, entry, linkFaults[faultNames[random.IntN(len(faultNames))]])
	}
}

// The paths of the kind that isn't idempotent, and of the one that is.
const (
	bookingPath = "/bookings"
	statusPath  = "/bookings/status"
)

// usualDeadline is in milliseconds.
const usualDeadline = "1000"

// answer is one request and what came back.
type answer struct {
	id   string
	path string
	key  string
	// deadline is in milliseconds; empty for usualDeadline.
	deadline string
	body     []byte
	status   int
	outcome  string
	got      []byte
	err      error
}

func sendMany(t *testing.T, f *fleet.Fleet, random *rand.Rand) []answer {
	t.Helper()
	answers := make([]answer, requestsPerRound)
	for i := range answers {
		a := answer{id: fmt.Sprintf("r-%x", random.Uint64()), path: bookingPath, body: randomBody(random)}
		if random.IntN(2) == 0 {
			a.path = statusPath
		}
		answers[i] = a
	}
	sendAll(t, f, answers)
	return answers
}

// sendAll sends the requests by callersAtOnce callers and fills in their answers.
func sendAll(t *testing.T, f *fleet.Fleet, answers []answer) {
	t.Helper()
	callers := pool.New().WithMaxGoroutines(callersAtOnce)
	for i := range answers {
		callers.Go(func() { send(t.Context(), f.Nodes[0].Caller, &answers[i]) })
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

func send(ctx context.Context, address string, a *answer) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/call/bookings"+a.path, bytes.NewReader(a.body))
	if err != nil {
		a.err = err
		return
	}
	request.Header.Set(server.RequestHeader, a.id)
	if a.key != "" {
		request.Header.Set(keyHeader, a.key)
	}
	request.Header.Set(deadlineHeader, cmp.Or(a.deadline, usualDeadline))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.got, a.err = io.ReadAll(response.Body)
	a.status, a.outcome = response.StatusCode, response.Header.Get("Comfreyhoist-Outcome")
}

func checkAnswers(t *testing.T, f *fleet.Fleet, answers []answer) {
	t.Helper()
	started := startedByRequest(f)
	counts := outcomesOf(answers)
	for _, a := range answers {
		is := is.New(t)
		is.NoErr(a.err)                                      // the caller's own connection is whole
		is.True(a.path != bookingPath || started[a.id] <= 1) // a booking runs at most once
		switch a.outcome {
		case "ran":
			is.Equal(a.status, http.StatusOK)
			is.True(bytes.Equal(a.got, a.body)) // the whole answer to its own request
			is.True(started[a.id] > 0)
		case "not_run":
			is.True(a.status >= http.StatusBadRequest)
			is.Equal(started[a.id], 0) // told that it was not run
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
