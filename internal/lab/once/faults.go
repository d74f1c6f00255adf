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

// faults carries out a schedule that a seed gives.
type faults struct {
	fleet  *fleet.Fleet
	random *rand.Rand
	output io.Writer
	start  time.Time
	group  conc.WaitGroup
	// busy marks the nodes whose process is frozen, killed or rolled now.
	busy chan *fleet.Node
}

func newFaults(f *fleet.Fleet, random *rand.Rand, output io.Writer) *faults {
	busy := make(chan *fleet.Node, len(f.Nodes))
	for _, i := range random.Perm(len(f.Nodes)) {
		busy <- f.Nodes[i]
	}
	return &faults{fleet: f, random: random, output: output, start: time.Now(), busy: busy}
}

const (
	// leastPause and mostPause lie between two faults. Faults last longer than that, so that they overlap.
	leastPause = 300 * time.Millisecond
	mostPause  = 1500 * time.Millisecond
	// leastFault and mostFault are how long one fault lasts: up to well beyond the term of an epoch.
	leastFault = 500 * time.Millisecond
	mostFault  = 7 * time.Second
)

// run starts faults until the context ends, and then waits for the last to pass.
func (f *faults) run(ctx context.Context) {
	for pause.For(ctx, f.between(leastPause, mostPause)) {
		f.one(ctx)
	}
	f.group.Wait()
	f.fleet.Network.Clear()
	f.fleet.Store.SetFaults(store.Faults{})
}

func (f *faults) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Int64N(int64(most-least)))
}

// one starts one fault. All random choices are made here, in the goroutine of run.
func (f *faults) one(ctx context.Context) {
	lasts := f.between(leastFault, mostFault)
	nodes := f.fleet.Nodes
	a, b := nodes[f.random.IntN(len(nodes))], nodes[f.random.IntN(len(nodes))]
	switch f.random.IntN(8) {
	case 0:
		f.withNode(func(n *fleet.Node) { f.kill(ctx, n, lasts) })
	case 1:
		f.withNode(func(n *fleet.Node) { f.freeze(ctx, n, lasts) })
	case 2:
		f.withNode(f.roll)
	case 3:
		f.cut(ctx, a.Zone, lasts)
	case 4:
		f.cutNodes(ctx, a, b, lasts)
	case 5:
		f.platform(ctx, lasts)
	case 6:
		f.log("silence %s to %s: %d connections", a.Name, b.Name, f.fleet.Network.SilenceOpen(a.Name, b.Name))
	default:
		f.log("reset %s to %s: %d connections", a.Name, b.Name, f.fleet.Network.ResetOpen(a.Name, b.Name))
	}
}

func (f *faults) log(format string, values ...any) {
	_, _ = fmt.Fprintf(f.output, "%7.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, values...))
}

// withNode runs a fault of one process, which no other fault touches meanwhile. Half of the processes stay alone.
func (f *faults) withNode(fault func(*fleet.Node)) {
	if len(f.busy) <= len(f.fleet.Nodes)/2 {
		return
	}
	n := <-f.busy
	f.group.Go(func() {
		fault(n)
		f.busy <- n
	})
}

func (f *faults) kill(ctx context.Context, n *fleet.Node, lasts time.Duration) {
	f.log("kill %s for %s", n.Name, lasts)
	n.Kill()
	pause.For(ctx, lasts)
	f.restart(n)
}

func (f *faults) restart(n *fleet.Node) {
	f.log("start %s", n.Name)
	if err := n.Start(); err != nil {
		f.log("start %s failed: %v", n.Name, err)
	}
}

func (f *faults) freeze(ctx context.Context, n *fleet.Node, lasts time.Duration) {
	f.log("freeze %s for %s", n.Name, lasts)
	n.Freeze()
	pause.For(ctx, lasts)
	n.Resume()
	f.log("resume %s", n.Name)
}

func (f *faults) roll(n *fleet.Node) {
	f.log("terminate %s", n.Name)
	n.Terminate()
	f.restart(n)
}

// cut takes an availability zone off from the others and from the platform.
func (f *faults) cut(ctx context.Context, zone string, lasts time.Duration) {
	inside, outside := sides(f.fleet, zone)
	f.log("cut %s off for %s", zone, lasts)
	f.hold(ctx, inside, outside, lasts)
}

// sides returns the nodes of the zone, and everything else.
func sides(f *fleet.Fleet, zone string) (inside, outside []string) {
	outside = []string{fleet.PlatformEnd}
	for _, n := range f.Nodes {
		if n.Zone == zone {
			inside = append(inside, n.Name)
		} else {
			outside = append(outside, n.Name)
		}
	}
	return inside, outside
}

func (f *faults) cutNodes(ctx context.Context, a, b *fleet.Node, lasts time.Duration) {
	f.log("cut %s from %s for %s", a.Name, b.Name, lasts)
	f.hold(ctx, []string{a.Name}, []string{b.Name}, lasts)
}

func (f *faults) hold(ctx context.Context, group, other []string, lasts time.Duration) {
	f.fleet.Network.SetBoth(group, other, proxy.Fault{Cut: true})
	f.group.Go(func() {
		pause.For(ctx, lasts)
		f.fleet.Network.SetBoth(group, other, proxy.Fault{})
	})
}

// platform makes the platform down, slow, or lose its answers.
func (f *faults) platform(ctx context.Context, lasts time.Duration) {
	choices := []store.Faults{{Down: true}, {Delay: 700 * time.Millisecond}, {LoseAnswers: true}}
	chosen := choices[f.random.IntN(len(choices))]
	f.log("platform %+v for %s", chosen, lasts)
	f.fleet.Store.SetFaults(chosen)
	f.group.Go(func() {
		pause.For(ctx, lasts)
		f.fleet.Store.SetFaults(store.Faults{})
	})
}
