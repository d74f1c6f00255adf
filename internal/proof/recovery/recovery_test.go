package recovery_test

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
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

func TestMain(m *testing.M) {
	os.Exit(harness.Main(m))
}

const (
	front = "front"
	deep  = "deep"
	// serviceTime is long enough that the slots, not the processor, limit the capacity of the fleet.
	serviceTime = 100 * time.Millisecond
	// slowFactor multiplies the service time of the slowed service.
	slowFactor = 6
	// recoveryTime is the limit that docs/PROOF.md states, and recoveredRatio the fraction of the earlier goodput ratio that must be
	// reached by then.
	recoveryTime   = 5 * time.Second
	recoveredRatio = 0.95
	// warmup is the time at the start that is not measured, and measureTime how long goodput is measured after recoveryTime.
	warmup      = time.Second
	measureTime = 2 * time.Second
	// triggerStart is when the first trigger starts, and triggerTime how long each trigger lasts.
	triggerStart = 3 * time.Second
	triggerTime  = 2 * time.Second
	// preTriggerMargin is the time before a trigger that is not measured, because its requests may still be in flight then.
	preTriggerMargin = 500 * time.Millisecond
)

func document(service string) string {
	return fmt.Sprintf(`[service]
name = %s
team = proofs

[kind sheets]
path = /sheets/*
rank = 0
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
deadline = 2s
`, service)
}

// frontAndDeep returns a service that makes one call to a second service for each request. The second runs 200 requests a second.
func frontAndDeep() fleet.Deployment {
	service := fleet.Service{Instances: 2, Connections: 170}
	service.Behaviour = server.Behaviour{ServiceTime: serviceTime, Spread: 0.3, Queue: 1000}
	first, second := service, service
	first.Name, first.Document, first.Slots = front, document(front), 40
	second.Name, second.Document, second.Slots = deep, document(deep), 10
	for _, path := range []string{"/sheets/", "/lookups/", "/archive/"} {
		call := server.DownstreamCall{Service: deep, Method: http.MethodGet, Path: path + "x", Prefix: path}
		first.Behaviour.Calls = append(first.Behaviour.Calls, call)
	}
	return fleet.Deployment{Zones: []string{"lisbon_1", "lisbon_2"}, Services: []fleet.Service{first, second}}
}

func stream(name string, rank int, rate float64) load.Stream {
	return load.Stream{
		Name: name, Service: front, Method: http.MethodGet, Path: "/" + name + "/x", Rank: rank, Rate: rate,
		Caller: "app", Timeout: 2 * time.Second,
	}
}

// flood returns the stream that a trigger adds from start on. Its caller resends failed requests at once.
func flood(name string, rank int, rate float64, start time.Duration) load.Stream {
	s := stream(name, rank, rate)
	s.Name, s.Caller, s.Resends = "flood of "+name, "hasty", 3
	s.Start, s.Stop = start, start+triggerTime
	return s
}

// trigger overloads the fleet for triggerTime. Every trigger slows down the deep service.
type trigger struct {
	start time.Duration
	// flood is the rate of added archive requests, and surge that of added lookups, in requests a second.
	flood float64
	surge float64
	// failing reports whether one backend server of the deep service fails fast during the trigger.
	failing bool
}

func (tr trigger) stop() time.Duration {
	return tr.start + triggerTime
}

func (tr trigger) streams() []load.Stream {
	var streams []load.Stream
	if tr.flood > 0 {
		streams = append(streams, flood("archive", 8, tr.flood, tr.start))
	}
	if tr.surge > 0 {
		streams = append(streams, flood("lookups", 5, tr.surge, tr.start))
	}
	return streams
}

// run changes the behaviour of the backend servers for the time of the trigger. It reports whether a node has ejected an
// instance during that time.
func (tr trigger) run(t *testing.T, f *fleet.Fleet, begin time.Time) bool {
	t.Helper()
	pause.Until(t.Context(), begin.Add(tr.start))
	ordinary := map[*fleet.Node]server.Behaviour{}
	for _, n := range f.Nodes {
		if n.Service != deep {
			continue
		}
		b := n.Server.Behaviour()
		ordinary[n] = b
		b.ServiceTime *= slowFactor
		b.FailFast = tr.failing && len(ordinary) == 1
		n.Server.SetBehaviour(b)
	}
	ejected := false
	for !ejected && time.Since(begin) < tr.stop() {
		ejected = anyEjected(t, f)
		pause.For(t.Context(), pollInterval)
	}
	pause.Until(t.Context(), begin.Add(tr.stop()))
	for n, b := range ordinary {
		n.Server.SetBehaviour(b)
	}
	return ejected
}

// pollInterval is the time between two checks for ejections.
const pollInterval = 100 * time.Millisecond

func anyEjected(t *testing.T, f *fleet.Fleet) bool {
	t.Helper()
	for _, n := range f.Nodes {
		dump, err := fleet.FetchDump(t.Context(), n.Backend)
		if err != nil {
			t.Errorf("dump of %s: %v", n.Name, err)
		}
		for _, i := range dump.Sender.Instances {
			if i.EjectionRemaining > 0 {
				return true
			}
		}
	}
	return false
}

// Overload can sustain itself after its triggers end: retries keep queues full, and ejections, spent budgets or low limits keep
// capacity unused. Combined and repeated triggers make this more likely than a single one.
func TestRecoveryFromSeveralTriggers(t *testing.T) {
	tests := map[string]struct {
		triggers []trigger
		// ejects reports whether the triggers must cause an ejection.
		ejects bool
	}{
		"slow service and flood together": {
			triggers: []trigger{{start: triggerStart, flood: 100, surge: 50}},
		},
		"slow service and failing instance together": {
			triggers: []trigger{{start: triggerStart, surge: 50, failing: true}},
			ejects:   true,
		},
		"slow service twice in a row": {
			triggers: []trigger{
				{start: triggerStart, surge: 50},
				{start: triggerStart + 2*triggerTime, surge: 50},
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := harness.Start(t, fleet.Config{Deployment: frontAndDeep()})
			ordinary := []load.Stream{stream("sheets", 0, 20), stream("lookups", 5, 80)}
			stop := test.triggers[len(test.triggers)-1].stop()
			end := stop + recoveryTime + measureTime
			streams := ordinary
			for _, tr := range test.triggers {
				streams = append(streams, tr.streams()...)
			}
			ejected := false
			var group conc.WaitGroup
			begin := time.Now()
			group.Go(func() {
				for _, tr := range test.triggers {
					ejected = tr.run(t, f, begin) || ejected
				}
			})
			results := load.Run(t.Context(), load.Config{Streams: streams, Targets: f.Callers(), Duration: end, Seed: 1})
			group.Wait()
			logGoodRatios(t, results, ordinary, end)
			for _, s := range ordinary {
				before := goodRatio(results, s.Name, warmup, triggerStart-preTriggerMargin)
				during := goodRatio(results, s.Name, triggerStart, triggerStart+triggerTime)
				after := goodRatio(results, s.Name, stop+recoveryTime, end)
				is.True(before >= 0.99)
				is.True(s.Rank == 0 || during < 0.9) // without overload there is nothing to recover from
				is.True(after >= recoveredRatio*before)
			}
			is.True(!test.ejects || ejected) // without an ejection the residual state is not tested
			checkNoResidualState(t, f)
		})
	}
}

// checkNoResidualState checks in the dumps of all nodes that no queue, ejection, quarantine or spent budget remains.
func checkNoResidualState(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	is := is.New(t)
	for _, n := range f.Nodes {
		dump, err := fleet.FetchDump(t.Context(), n.Backend)
		is.NoErr(err)
		is.Equal(dump.Load.Queued, 0)
		is.Equal(dump.Load.InFlight, 0)
		is.Equal(len(dump.Quarantine), 0) // slow requests and failures must not count as crashes
		is.Equal(n.Server.Busy(), 0)
		for name, i := range dump.Sender.Instances {
			if i.EjectionRemaining > 0 || i.ShedRemaining > 0 || i.InFlight > 0 {
				t.Errorf("%s still restricts %s: %+v", n.Name, name, i)
			}
		}
		for service, tokens := range dump.Sender.Budgets {
			if tokens < 1 {
				t.Errorf("%s has no retry budget left for %s: %.1f tokens", n.Name, service, tokens)
			}
		}
	}
}

func logGoodRatios(t *testing.T, results []load.Result, streams []load.Stream, end time.Duration) {
	t.Helper()
	for _, s := range streams {
		for from := time.Duration(0); from < end; from += warmup {
			t.Logf("%s from %s: %.3f", s.Name, from, goodRatio(results, s.Name, from, from+warmup))
		}
	}
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
