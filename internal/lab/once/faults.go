package once

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// faults runs a schedule of faults that is determined by a seed.
type faults struct {
	fleet  *fleet.Fleet
	random *rand.Rand
	output io.Writer
	start  time.Time
	group  conc.WaitGroup
	// available holds the nodes whose process no fault affects now.
	available chan *fleet.Node
}

func newFaults(f *fleet.Fleet, random *rand.Rand, output io.Writer) *faults {
	available := make(chan *fleet.Node, len(f.Nodes))
	for _, i := range random.Perm(len(f.Nodes)) {
		available <- f.Nodes[i]
	}
	return &faults{fleet: f, random: random, output: output, start: time.Now(), available: available}
}

const (
	// minPause and maxPause limit the time between two faults. Faults usually last longer, so that they overlap.
	minPause = 300 * time.Millisecond
	maxPause = 1500 * time.Millisecond
	// minFaultDuration and maxFaultDuration limit the duration of a fault. The maximum is well above the term of an
	// epoch.
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 7 * time.Second
)

// run starts faults until the context ends, and then waits until the last has ended.
func (f *faults) run(ctx context.Context) {
	for pause.For(ctx, f.between(minPause, maxPause)) {
		f.startFault(ctx)
	}
	f.group.Wait()
	f.fleet.Network.Clear()
	f.fleet.Store.SetFaults(store.Faults{})
}

func (f *faults) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

// startFault starts one fault. It makes all random choices itself, in the goroutine of run, so that the seed determines
// them.
func (f *faults) startFault(ctx context.Context) {
	duration := f.between(minFaultDuration, maxFaultDuration)
	nodes := f.fleet.Nodes
	a, b := nodes[f.random.IntN(len(nodes))], nodes[f.random.IntN(len(nodes))]
	switch f.random.IntN(8) {
	case 0:
		f.withAvailableNode(func(n *fleet.Node) { f.kill(ctx, n, duration) })
	case 1:
		f.withAvailableNode(func(n *fleet.Node) { f.freeze(ctx, n, duration) })
	case 2:
		f.withAvailableNode(f.terminateAndRestart)
	case 3:
		f.cutZone(ctx, a.Zone, duration)
	case 4:
		f.cutNodes(ctx, a, b, duration)
	case 5:
		f.failPlatform(ctx, duration)
	case 6:
		f.log("silence %s to %s: %d connections", a.Name, b.Name, f.fleet.Network.SilenceOpen(a.Name, b.Name))
	default:
		f.log("reset %s to %s: %d connections", a.Name, b.Name, f.fleet.Network.ResetOpen(a.Name, b.Name))
	}
}

func (f *faults) log(format string, values ...any) {
	_, _ = fmt.Fprintf(f.output, "%7.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, values...))
}

// withAvailableNode runs a fault on a process that no other fault affects meanwhile. Half of the processes stay
// unaffected.
func (f *faults) withAvailableNode(fault func(*fleet.Node)) {
	if len(f.available) <= len(f.fleet.Nodes)/2 {
		return
	}
	n := <-f.available
	f.group.Go(func() {
		fault(n)
		f.available <- n
	})
}

func (f *faults) kill(ctx context.Context, n *fleet.Node, duration time.Duration) {
	f.log("kill %s for %s", n.Name, duration)
	n.Kill()
	pause.For(ctx, duration)
	f.restart(n)
}

func (f *faults) restart(n *fleet.Node) {
	f.log("start %s", n.Name)
	if err := n.Start(); err != nil {
		f.log("start %s failed: %v", n.Name, err)
	}
}

func (f *faults) freeze(ctx context.Context, n *fleet.Node, duration time.Duration) {
	f.log("freeze %s for %s", n.Name, duration)
	n.Freeze()
	pause.For(ctx, duration)
	n.Resume()
	f.log("resume %s", n.Name)
}

func (f *faults) terminateAndRestart(n *fleet.Node) {
	f.log("terminate %s", n.Name)
	n.Terminate()
	f.restart(n)
}

// cutZone cuts an availability zone off from the others and from the platform.
func (f *faults) cutZone(ctx context.Context, zone string, duration time.Duration) {
	inside, outside := splitZone(f.fleet, zone)
	f.log("cut %s off for %s", zone, duration)
	f.cutBetween(ctx, inside, outside, duration)
}

// splitZone returns the names of the nodes in the availability zone, and of all other endpoints.
func splitZone(f *fleet.Fleet, zone string) (inside, outside []string) {
	outside = []string{fleet.PlatformEndpoint}
	for _, n := range f.Nodes {
		if n.Zone == zone {
			inside = append(inside, n.Name)
		} else {
			outside = append(outside, n.Name)
		}
	}
	return inside, outside
}

func (f *faults) cutNodes(ctx context.Context, a, b *fleet.Node, duration time.Duration) {
	f.log("cut %s from %s for %s", a.Name, b.Name, duration)
	f.cutBetween(ctx, []string{a.Name}, []string{b.Name}, duration)
}

func (f *faults) cutBetween(ctx context.Context, group, other []string, duration time.Duration) {
	f.fleet.Network.SetBoth(group, other, proxy.Fault{Cut: true})
	f.group.Go(func() {
		pause.For(ctx, duration)
		f.fleet.Network.SetBoth(group, other, proxy.Fault{})
	})
}

// failPlatform makes the platform unavailable, slow, or lose its responses.
func (f *faults) failPlatform(ctx context.Context, duration time.Duration) {
	choices := []store.Faults{{Down: true}, {Delay: 700 * time.Millisecond}, {LoseAnswers: true}}
	chosen := choices[f.random.IntN(len(choices))]
	f.log("platform %+v for %s", chosen, duration)
	f.fleet.Store.SetFaults(chosen)
	f.group.Go(func() {
		pause.For(ctx, duration)
		f.fleet.Store.SetFaults(store.Faults{})
	})
}
