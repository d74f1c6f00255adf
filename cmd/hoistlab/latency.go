package main

import (
	"context"
	"flag"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/report"
)

// latencyFlags holds the flags of the latency command.
type latencyFlags struct {
	duration time.Duration
	rate     float64
	seed     uint64
	out      string
}

func latencyCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab latency", flag.ContinueOnError)
	l := &latencyFlags{}
	flags.DurationVar(&l.duration, "duration", 15*time.Second, "length of the run")
	flags.Float64Var(&l.rate, "rate", 300, "requests per second through the nodes, and the same rate directly to the backend servers")
	flags.Uint64Var(&l.seed, "seed", 1, "seed of the load")
	flags.StringVar(&l.out, "out", "out", "directory for JSON")
	return &ffcli.Command{
		Name:       "latency",
		ShortUsage: "hoistlab latency [-rate 300]",
		ShortHelp:  "measure the latency that the nodes add, compared with direct calls to the backend servers",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return latency(ctx, l) },
	}
}

func latency(ctx context.Context, l *latencyFlags) error {
	if err := os.MkdirAll(l.out, directoryMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	binary, err := fleet.Build(ctx, l.out)
	if err != nil {
		return trace.Wrap(err)
	}
	f, err := startFleet(ctx, fleet.Config{Binary: binary, Deployment: constantTimeChain(), Seed: l.seed})
	defer f.Stop()
	if err != nil {
		return trace.Wrap(err)
	}
	results := load.Run(ctx, load.Config{Streams: l.streams(f), Targets: f.Callers(), Duration: l.duration, Seed: l.seed})
	rows := fleet.Summarize(results)
	if err := report.WriteJSON(filepath.Join(l.out, "latency.json"), rows); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(fleet.WriteTable(os.Stdout, rows))
}

// constantTimeChain returns the chain deployment with the same service time for every request.
func constantTimeChain() fleet.Deployment {
	d := fleet.Chain()
	for i := range d.Services {
		d.Services[i].Behaviour.Spread = 0
	}
	return d
}

// streams returns two streams to the same backend servers at the same rate: one through the nodes, and one direct.
func (l *latencyFlags) streams(f *fleet.Fleet) []load.Stream {
	through := load.Stream{
		Name:    "through the nodes",
		Service: "access",
		Method:  http.MethodGet,
		Path:    "/urgent/windows",
		Rate:    l.rate,
		Timeout: time.Second,
	}
	direct := through
	direct.Name = "direct"
	direct.Direct = true
	for _, n := range f.Nodes {
		if n.Service == direct.Service {
			direct.Targets = append(direct.Targets, n.Server.Address())
		}
	}
	return []load.Stream{through, direct}
}
