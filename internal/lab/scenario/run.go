package scenario

import (
	"context"
	"io"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// Variant is the system under test between callers and backend servers.
type Variant struct {
	Name string
	// Binary is the path of the comfreyhoist program, or of hoistlab for the baseline balancer.
	Binary   string
	Baseline bool
}

// Config configures a run.
type Config struct {
	Deployment Deployment
	Scenario   Scenario
	Variant    Variant
	Seed       uint64
	// Output receives the logs of the nodes.
	Output io.Writer
}

// readyTimeout limits the time until a fleet is ready.
const readyTimeout = 30 * time.Second

// Run starts the deployment, runs the scenario on it and returns the measurements.
func Run(ctx context.Context, config Config) (Result, error) {
	f, err := fleet.Start(ctx, fleet.Config{
		Binary:     config.Variant.Binary,
		Baseline:   config.Variant.Baseline,
		Deployment: config.Deployment.Fleet,
		Output:     config.Output,
		Seed:       config.Seed,
	})
	defer f.Stop()
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(ready); err != nil {
		return Result{}, trace.Wrap(err)
	}
	results := runLoad(ctx, f, config)
	return measure(config, results, startsByRequest(f)), nil
}

// runLoad sends the load while the triggers change the backend servers.
func runLoad(ctx context.Context, f *fleet.Fleet, config Config) []load.Result {
	var group conc.WaitGroup
	defer group.Wait()
	start := time.Now()
	group.Go(func() { applySlowdowns(ctx, f, config, start) })
	return load.Run(ctx, load.Config{
		Streams:  config.Scenario.streams(config.Deployment),
		Targets:  f.Callers(),
		Duration: config.Scenario.Duration(),
		Seed:     config.Seed,
	})
}

// applySlowdowns changes the service time of the deep service during the triggers that slow it down.
func applySlowdowns(ctx context.Context, f *fleet.Fleet, config Config, start time.Time) {
	for i, trigger := range config.Scenario.spans() {
		factor := config.Scenario.Triggers[i].Slowdown
		if factor <= 1 {
			continue
		}
		pause.Until(ctx, start.Add(trigger.start))
		scaleServiceTime(f, config.Deployment.DeepService, factor)
		pause.Until(ctx, start.Add(trigger.end))
		scaleServiceTime(f, config.Deployment.DeepService, 1/factor)
	}
}

func scaleServiceTime(f *fleet.Fleet, service string, factor float64) {
	for _, n := range f.Nodes {
		if n.Service != service {
			continue
		}
		b := n.Server.Behaviour()
		b.ServiceTime = time.Duration(float64(b.ServiceTime) * factor)
		n.Server.SetBehaviour(b)
	}
}

// startsByRequest returns how often each request was started on all backend servers together.
func startsByRequest(f *fleet.Fleet) map[string]int {
	started := map[string]int{}
	for _, n := range f.Nodes {
		for _, r := range n.Server.Ledger().Runs() {
			started[r.Request] += r.Started
		}
	}
	return started
}
