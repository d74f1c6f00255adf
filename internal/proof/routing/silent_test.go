package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	// maxSilentDelay is how long a silent connection may delay a request according to docs/RETRIES.md, and silenceRecovery the
	// time after which no request may be delayed by that much.
	maxSilentDelay  = time.Second
	silenceRecovery = 2 * time.Second
)

// twoServices returns a service with two instances and a second service whose node is the entry node.
func twoServices() fleet.Deployment {
	d := fleet.Deployment{Zones: []string{"lisbon_1", "lisbon_2"}}
	for level, instances := range []int{2, 1} {
		name := fmt.Sprint("level", level)
		d.Services = append(d.Services, fleet.Service{
			Name: name, Document: levelDocument(name), Instances: instances, Slots: 10, Connections: 50,
			Behaviour: server.Behaviour{ServiceTime: 20 * time.Millisecond, Queue: 10},
		})
	}
	return d
}

// Connections that stay open but pass no bytes must be abandoned. Without that, each idle connection in the pool delays another
// request until its timeout.
func TestSilentConnectionsAreAbandoned(t *testing.T) {
	is := is.New(t)
	f := harness.Start(t, fleet.Config{Deployment: twoServices()})
	entry := f.Nodes[2]
	const silence = 1500 * time.Millisecond
	silenced := 0
	var group conc.WaitGroup
	group.Go(func() {
		time.Sleep(silence)
		for _, n := range f.Nodes[:2] {
			silenced += f.Network.SilenceOpen(entry.Name, n.Name)
		}
	})
	// A rush opens many connections; few requests follow after the silence, so most connections are idle.
	rush, calm := lookupStream(500, 0), lookupStream(10, 0)
	rush.Name, rush.Stop = "rush", silence-300*time.Millisecond
	calm.Name, calm.Start = "calm", silence
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{rush, calm},
		Targets:  []string{entry.Caller},
		Duration: 4 * time.Second,
		Seed:     1,
	})
	group.Wait()
	failed, late, delayed, slowest := 0, 0, 0, time.Duration(0)
	for _, r := range results {
		if r.Stream != calm.Name {
			continue
		}
		slowest = max(slowest, r.Latency)
		if !r.OK() {
			failed++
		}
		if r.Latency > 250*time.Millisecond {
			delayed++
		}
		if r.Sent > silence+silenceRecovery && r.Latency > maxSilentDelay {
			late++
		}
	}
	t.Logf("%d connections silenced, %d requests delayed; %d of %d failed, slowest %s, %d late",
		silenced, delayed, failed, tallyBetween(results, silence, time.Minute).sent, slowest, late)
	is.True(silenced > 10)
	is.True(2*delayed < silenced) // the first request to detect the silence closes the idle connections
	is.Equal(failed, 0)
	is.Equal(late, 0)
	is.True(slowest < maxSilentDelay)
	for request, byService := range runsByRequest(f) {
		if byService["level0"] > 1+attemptAllowance {
			t.Errorf("%s ran %d times", request, byService["level0"])
		}
	}
}
