package admission_test

import (
	"context"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
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

const document = `[service]
name = venue
team = venue-team

[kind sheets]
path = /sheets/*
rank = 0
idempotent = true
deadline = 2s

[kind orders]
path = /orders/*
rank = 5
idempotent = true
deadline = 2s

[kind lookups]
path = /lookups/*
rank = 5
idempotent = true
deadline = 2s

[kind archive]
path = /archive/*
rank = 8
idempotent = true
deadline = 10s

[kind long]
path = /long/*
rank = 3
idempotent = true
deadline = 2m

[kind bookings]
path = /bookings/*
rank = 3
idempotent = false
deadline = 2s
`

// serviceTime is long enough that the slots, not the processor, limit the capacity of the fleet.
const serviceTime = 80 * time.Millisecond

// venueDeployment returns a deployment with two backend servers of 10 slots each, which together run 250 requests a second.
func venueDeployment() fleet.Deployment {
	return fleet.Deployment{
		Zones: []string{"lisbon_1"},
		Services: []fleet.Service{{
			Name:        "venue",
			Document:    document,
			Instances:   2,
			Slots:       10,
			Connections: 170,
			Behaviour:   server.Behaviour{ServiceTime: serviceTime, Spread: 0.3, Queue: 1000},
		}},
	}
}

func stream(name, path string, rank int, rate float64) load.Stream {
	return load.Stream{
		Name: name, Service: "venue", Method: http.MethodGet, Path: path, Rank: rank, Rate: rate, Caller: "app", Timeout: 2 * time.Second,
	}
}

// withCaller returns the stream with another caller name.
func withCaller(caller string, s load.Stream) load.Stream {
	s.Caller = caller
	return s
}

// withShortTimeout returns the stream with a timeout that is shorter than the queueing delay in a backend server whose in-flight
// limit follows an announcement of ten times its slots.
func withShortTimeout(s load.Stream) load.Stream {
	s.Timeout = 600 * time.Millisecond
	return s
}

const (
	runTime    = 3800 * time.Millisecond
	floodStart = 500 * time.Millisecond
	floodStop  = 3 * time.Second
	// floodRate is three times the capacity of the fleet, in requests a second.
	floodRate = 750
	// sheddingDelay is how long after the start of a flood the fleet may still run less urgent work.
	sheddingDelay = time.Second
	// queueClearTime is how long after the end of a flood its last requests may still be queued.
	queueClearTime = 500 * time.Millisecond
)

func flood(name, path string, rank int, rate float64) load.Stream {
	s := stream(name, path, rank, rate)
	s.Start, s.Stop = floodStart, floodStop
	return s
}

// logFailures logs the requests of the stream that were not served successfully.
func logFailures(t *testing.T, results []load.Result, stream string) {
	t.Helper()
	for _, r := range results {
		if r.Stream == stream && !r.OK() {
			t.Logf("%s at %s: %s %s after %s", stream, r.Sent, r.Outcome, r.Reason, r.Latency)
		}
	}
}

func run(t *testing.T, f *fleet.Fleet, streams ...load.Stream) []load.Result {
	t.Helper()
	results := load.Run(t.Context(), load.Config{Streams: streams, Targets: f.Callers(), Duration: runTime, Seed: 1})
	_ = fleet.WriteTable(t.Output(), fleet.Summarize(results))
	return results
}

// goodRatio returns the fraction of the stream's requests sent in [from, to) that succeeded.
func goodRatio(results []load.Result, stream string, from, to time.Duration) float64 {
	sent, good := 0, 0
	for _, r := range results {
		if r.Stream != stream || r.Sent < from || r.Sent >= to {
			continue
		}
		sent++
		if r.OK() {
			good++
		}
	}
	return float64(good) / float64(max(sent, 1))
}

// A flood must not displace more urgent work or callers and kinds that stay within their share. Without fair queueing and
// shedding by rank, the flood fills the queues and the other requests miss their deadlines.
func TestFloods(t *testing.T) {
	tests := map[string]struct {
		floods []load.Stream
		served []load.Stream
		// unserved are less urgent streams, of which nothing may run during the flood.
		unserved []load.Stream
		change   func(*fleet.Deployment)
	}{
		"floods of the least urgent rank and of one kind within a rank": {
			floods: []load.Stream{flood("archive", "/archive/x", 8, floodRate/2), flood("lookups", "/lookups/x", 5, floodRate/2)},
			served: []load.Stream{stream("sheets", "/sheets/x", 0, 100), stream("orders", "/orders/x", 5, 40)},
		},
		"of one caller within the most urgent kind": {
			floods:   []load.Stream{flood("flood", "/sheets/x", 0, floodRate)},
			served:   []load.Stream{withCaller("crew", stream("crew", "/sheets/x", 0, 50))},
			unserved: []load.Stream{stream("archive", "/archive/x", 8, 60)},
		},
		"flood of the least urgent rank, ten times the slots announced": {
			floods: []load.Stream{flood("flood", "/archive/x", 8, floodRate)},
			served: []load.Stream{withShortTimeout(stream("sheets", "/sheets/x", 0, 50))},
			change: func(d *fleet.Deployment) { d.Services[0].AnnouncedSlots = 100 },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := venueDeployment()
			if test.change != nil {
				test.change(&d)
			}
			f := harness.Start(t, fleet.Config{Deployment: d})
			results := run(t, f, slices.Concat(test.served, test.unserved, test.floods)...)
			for _, s := range test.served {
				logFailures(t, results, s.Name)
				is.True(goodRatio(results, s.Name, 0, runTime) >= 0.99) // succeeded within the deadline
			}
			for _, s := range test.unserved {
				is.True(goodRatio(results, s.Name, 0, floodStart-100*time.Millisecond) >= 0.99)
				is.True(goodRatio(results, s.Name, floodStart+sheddingDelay, floodStop-queueClearTime) <= 0.01)
				is.True(goodRatio(results, s.Name, floodStop+queueClearTime, runTime) >= 0.95)
			}
			checkRefusals(is, results)
			for _, n := range f.Nodes {
				is.True(n.Server.Report().PeakConnections <= 170)
			}
		})
	}
}

// checkRefusals checks that refused requests were answered early and with a valid Retry-After header.
func checkRefusals(is *is.I, results []load.Result) {
	refused := 0
	for _, r := range results {
		if r.Outcome != "not_run" {
			continue
		}
		refused++
		seconds, err := strconv.Atoi(r.RetryAfter)
		if err != nil || seconds < 1 {
			is.Equal(r.RetryAfter+" for "+r.Reason, "a number of seconds")
		}
		is.True(r.Latency < time.Second) // half of the callers' timeout
	}
	is.True(refused > 0)
}

// Overload must not outlast its cause. A downstream service slows down during a surge whose callers resend at once, which
// multiplies the load. Five seconds after the trigger ends, ordinary requests must succeed and all queues be empty.
func TestRecovery(t *testing.T) {
	is := is.New(t)
	const (
		window       = 500 * time.Millisecond
		triggerStart = 1500 * time.Millisecond
		triggerStop  = 3 * time.Second
		recovered    = triggerStop + 5*time.Second
		end          = recovered + time.Second
	)
	d := venueDeployment()
	d.Services[0].Slots = 30 // the call of the deep service doubles the time that a slot is held
	d.Services[0].Behaviour.Calls = []server.DownstreamCall{{Service: "deep", Method: http.MethodGet, Path: "/lookups/x"}}
	deep := d.Services[0]
	deep.Slots = 10
	deep.Name, deep.Document, deep.Behaviour.Calls = "deep", strings.Replace(document, "venue", "deep", 1), nil
	d.Services = append(d.Services, deep)
	f := harness.Start(t, fleet.Config{Deployment: d})
	var group conc.WaitGroup
	group.Go(func() {
		time.Sleep(triggerStart)
		slow := deep.Behaviour
		slow.ServiceTime *= 8
		setDeepBehaviour(f, slow)
		time.Sleep(triggerStop - triggerStart)
		setDeepBehaviour(f, deep.Behaviour)
	})
	surge := stream("surge", "/lookups/x", 5, 150)
	surge.Start, surge.Stop, surge.Resends = triggerStart, triggerStop, 3
	streams := []load.Stream{stream("sheets", "/sheets/x", 0, 30), stream("lookups", "/lookups/x", 5, 150), surge}
	results := load.Run(t.Context(), load.Config{Streams: streams, Targets: f.Callers(), Duration: end, Seed: 1})
	group.Wait()
	for _, name := range []string{"sheets", "lookups"} {
		for from := time.Duration(0); from < end; from += window {
			t.Logf("%s from %s: %.3f", name, from, goodRatio(results, name, from, from+window))
		}
		is.True(goodRatio(results, name, window, triggerStart-window) >= 0.95)
		is.True(goodRatio(results, name, recovered, end) >= 0.95)
	}
	for _, n := range f.Nodes {
		dump, err := fleet.FetchDump(t.Context(), n.Backend)
		is.NoErr(err)
		is.Equal(dump.Load.Queued, 0)
		is.Equal(n.Server.Busy(), 0)
	}
}

func setDeepBehaviour(f *fleet.Fleet, b server.Behaviour) {
	for _, n := range f.Nodes {
		if n.Service == "deep" {
			n.Server.SetBehaviour(b)
		}
	}
}

// Requests whose callers have disconnected must be canceled on the backend server; otherwise they hold its slots for nothing.
func TestCancellationReachesBackendServer(t *testing.T) {
	is := is.New(t)
	d := venueDeployment()
	d.Services[0].Behaviour.ServiceTime = time.Minute
	f := harness.Start(t, fleet.Config{Deployment: d})
	ctx, cancel := context.WithCancel(t.Context())
	busy := func() int { return f.Nodes[0].Server.Busy() + f.Nodes[1].Server.Busy() }
	const requests = 10
	var group conc.WaitGroup
	for i := range requests {
		target := f.Callers()[i%2]
		group.Go(func() { get(ctx, "http://"+target+"/call/venue/long/x") })
	}
	harness.Eventually(t, 10*time.Second, func() bool { return busy() == requests })
	cancel()
	group.Wait()
	harness.Eventually(t, 10*time.Second, func() bool { return busy() == 0 })
	harness.Eventually(t, 10*time.Second, func() bool {
		wasted := uint64(0)
		for _, n := range f.Nodes {
			dump, err := fleet.FetchDump(t.Context(), n.Backend)
			is.NoErr(err)
			wasted += dump.Receiver.Wasted
		}
		return wasted == requests
	})
}

func get(ctx context.Context, url string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return
	}
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
