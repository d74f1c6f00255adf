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
	// enough is the part of what a backend server can do that counts as good.
	enough = 0.9
	// overload is what is sent over what a backend server can do.
	overload = 1.5
	// watched is how long goodput is looked at, after the node had time to learn.
	watched = 10 * time.Second
)

// A node finds what its backend server can do, whatever this announces.
func TestLimitFindsWhatABackendServerCanDo(t *testing.T) {
	tests := map[string]struct {
		slots, announced, queue int

		learned time.Duration
	}{
		"announces a third of its slots": {slots: 24, announced: 8, queue: 1000, learned: 9 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := plain(1)
			d.Services[0].Slots, d.Services[0].AnnouncedSlots = test.slots, test.announced
			d.Services[0].Behaviour.ServiceTime, d.Services[0].Behaviour.Queue = usualTime, test.queue
			f := harness.Start(t, fleet.Config{Deployment: d})
			possible := float64(test.slots) * float64(time.Second/usualTime)
			end := test.learned + watched
			results := load.Run(t.Context(), load.Config{
				Streams:  []load.Stream{lookups(overload*possible, 0)},
				Targets:  f.Callers(),
				Duration: end,
				Seed:     1,
			})
			rate := float64(tallied(results, test.learned, end).good) / watched.Seconds()
			shed := f.Nodes[0].Server.Report().Shed
			t.Logf("%.0f good answers a second of %.0f possible; the backend server shed %d", rate, possible, shed)
			is.True(rate >= enough*possible)
		})
	}
}

// Backend servers that announce more slots than they have shed by themselves, each rank alike. Urgent work still gets
// through during a flood of lesser work: attempts are shed, requests are not.
func TestUrgentWorkIsServedWhereBackendServersShed(t *testing.T) {
	is := is.New(t)
	const instances, slots = 2, 10
	d := plain(instances)
	s := &d.Services[0]
	s.Document = levelDocument("level0") + `
[kind sheets]
path = /sheets
rank = 0
idempotent = true
deadline = 3s
`
	s.Slots, s.AnnouncedSlots = slots, 3*slots
	s.Behaviour.ServiceTime, s.Behaviour.Queue = usualTime, 0
	f := harness.Start(t, fleet.Config{Deployment: d})
	const possible = instances * slots * float64(time.Second/usualTime)
	flood, sheets := lookups(overload*possible, 1), lookups(possible/4, 0)
	sheets.Name, sheets.Path = "sheets", "/sheets"
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{flood, sheets},
		Targets:  f.Callers(),
		Duration: watched,
		Seed:     1,
	})
	byStream := map[string][]load.Result{}
	for _, r := range results {
		byStream[r.Stream] = append(byStream[r.Stream], r)
	}
	urgent, lesser := tallied(byStream["sheets"], 0, watched), tallied(byStream["lookups"], 0, watched)
	shed := 0
	for _, n := range f.Nodes {
		shed += n.Server.Report().Shed
	}
	t.Logf("%d of %d urgent and %d of %d lesser requests good, of %.0f possible; the backend servers shed %d",
		urgent.good, urgent.sent, lesser.good, lesser.sent, possible*watched.Seconds(), shed)
	is.True(shed > 0)
	is.True(float64(urgent.good) >= 0.99*float64(urgent.sent))
}

// A backend server that gives few connections never has more, also while callers go away and their connections end.
func TestConnectionsKeepToTheirBound(t *testing.T) {
	const (
		connections = 4
		possible    = connections * float64(time.Second/usualTime)
		rush        = 3 * time.Second
	)
	tests := map[string]time.Duration{ // the callers' patience
		"callers wait":    3 * time.Second,
		"callers go away": usualTime / 2,
	}
	for name, patience := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := plain(1)
			d.Services[0].Slots, d.Services[0].Connections = 5*connections, connections
			d.Services[0].Behaviour.ServiceTime = usualTime
			f := harness.Start(t, fleet.Config{Deployment: d})
			crowd, after := lookups(5*possible, 0), lookups(possible/2, 0)
			crowd.Name, crowd.Timeout, crowd.Stop = "crowd", patience, rush
			after.Start = rush + time.Second
			results := load.Run(t.Context(), load.Config{
				Streams:  []load.Stream{crowd, after},
				Targets:  f.Callers(),
				Duration: after.Start + 2*time.Second,
				Seed:     1,
			})
			during, later := tallied(results, time.Second, rush), tallied(results, after.Start, time.Minute)
			t.Logf("%d good answers of %d during the rush, %d of %d later", during.good, during.sent, later.good, later.sent)
			is.True(patience < usualTime || float64(during.good) >= enough*possible*(rush-time.Second).Seconds())
			is.Equal(later.good, later.sent)
			is.Equal(f.Nodes[0].Server.Report().PeakConnections, connections) // the bound is reached and kept to
		})
	}
}
