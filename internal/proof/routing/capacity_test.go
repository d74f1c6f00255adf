package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	// minGoodputRatio is the required goodput as a fraction of the capacity of the backend servers.
	minGoodputRatio = 0.9
	// overloadRatio is the offered rate divided by the capacity.
	overloadRatio = 1.5
	// measureTime is how long goodput is measured after the node had time to adjust its limit.
	measureTime = 10 * time.Second
)

// The in-flight limit must reach the capacity of a backend server that announces too few slots; a limit that follows the
// announcement would leave most of the capacity unused.
func TestLimitConvergesToServerCapacity(t *testing.T) {
	tests := map[string]struct {
		slots, announced, queue int

		learned time.Duration
	}{
		"announces a third of its slots": {slots: 24, announced: 8, queue: 1000, learned: 9 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := plainDeployment(1)
			d.Services[0].Slots, d.Services[0].AnnouncedSlots = test.slots, test.announced
			d.Services[0].Behaviour.ServiceTime, d.Services[0].Behaviour.Queue = ordinaryServiceTime, test.queue
			f := harness.Start(t, fleet.Config{Deployment: d})
			capacity := float64(test.slots) * float64(time.Second/ordinaryServiceTime)
			end := test.learned + measureTime
			results := load.Run(t.Context(), load.Config{
				Streams:  []load.Stream{lookupStream(overloadRatio*capacity, 0)},
				Targets:  f.Callers(),
				Duration: end,
				Seed:     1,
			})
			rate := float64(tallyBetween(results, test.learned, end).good) / measureTime.Seconds()
			shed := f.Nodes[0].Server.Report().Shed
			t.Logf("goodput %.0f/s of a capacity of %.0f/s; the backend server shed %d", rate, capacity, shed)
			is.True(rate >= minGoodputRatio*capacity)
		})
	}
}

// Backend servers that announce more slots than they have shed requests themselves, regardless of rank. During a flood of less
// urgent work, urgent requests must still succeed: their attempts may be shed, the requests themselves may not.
func TestUrgentWorkIsServedWhereBackendServersShed(t *testing.T) {
	is := is.New(t)
	const instances, slots = 2, 10
	d := plainDeployment(instances)
	s := &d.Services[0]
	s.Document = levelDocument("level0") + `
[kind sheets]
path = /sheets
rank = 0
idempotent = true
deadline = 3s
`
	s.Slots, s.AnnouncedSlots = slots, 3*slots
	s.Behaviour.ServiceTime, s.Behaviour.Queue = ordinaryServiceTime, 0
	f := harness.Start(t, fleet.Config{Deployment: d})
	const capacity = instances * slots * float64(time.Second/ordinaryServiceTime)
	flood, sheets := lookupStream(overloadRatio*capacity, 1), lookupStream(capacity/4, 0)
	sheets.Name, sheets.Path = "sheets", "/sheets"
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{flood, sheets},
		Targets:  f.Callers(),
		Duration: measureTime,
		Seed:     1,
	})
	byStream := map[string][]load.Result{}
	for _, r := range results {
		byStream[r.Stream] = append(byStream[r.Stream], r)
	}
	urgent, lesser := tallyBetween(byStream["sheets"], 0, measureTime), tallyBetween(byStream["lookups"], 0, measureTime)
	shed := 0
	for _, n := range f.Nodes {
		shed += n.Server.Report().Shed
	}
	t.Logf("succeeded: %d of %d urgent and %d of %d less urgent requests, capacity %.0f requests; the backend servers shed %d",
		urgent.good, urgent.sent, lesser.good, lesser.sent, capacity*measureTime.Seconds(), shed)
	is.True(shed > 0)
	is.True(float64(urgent.good) >= 0.99*float64(urgent.sent))
}

// A backend server must never get more connections than it allows. The connections of canceled requests are closed while new ones
// are opened; both must count towards the limit.
func TestConnectionsKeepToTheirBound(t *testing.T) {
	const (
		connections = 4
		capacity    = connections * float64(time.Second/ordinaryServiceTime)
		rush        = 3 * time.Second
	)
	tests := map[string]time.Duration{ // the callers' timeouts
		"callers wait":    3 * time.Second,
		"callers go away": ordinaryServiceTime / 2,
	}
	for name, timeout := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := plainDeployment(1)
			d.Services[0].Slots, d.Services[0].Connections = 5*connections, connections
			d.Services[0].Behaviour.ServiceTime = ordinaryServiceTime
			f := harness.Start(t, fleet.Config{Deployment: d})
			crowd, after := lookupStream(5*capacity, 0), lookupStream(capacity/2, 0)
			crowd.Name, crowd.Timeout, crowd.Stop = "crowd", timeout, rush
			after.Start = rush + time.Second
			results := load.Run(t.Context(), load.Config{
				Streams:  []load.Stream{crowd, after},
				Targets:  f.Callers(),
				Duration: after.Start + 2*time.Second,
				Seed:     1,
			})
			during, later := tallyBetween(results, time.Second, rush), tallyBetween(results, after.Start, time.Minute)
			t.Logf("%d of %d requests succeeded during the rush, %d of %d later", during.good, during.sent, later.good, later.sent)
			is.True(timeout < ordinaryServiceTime || float64(during.good) >= minGoodputRatio*capacity*(rush-time.Second).Seconds())
			is.Equal(later.good, later.sent)
			is.Equal(f.Nodes[0].Server.Report().PeakConnections, connections) // the limit is reached and not exceeded
		})
	}
}
