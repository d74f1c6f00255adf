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
