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

// latencyFlags are the flags of the command.
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
	flags.Float64Var(&l.rate, "rate", 300, "requests a second, through the nodes and straight to the backend servers each")
	flags.Uint64Var(&l.seed, "seed", 1, "seed of the load")
	flags.StringVar(&l.out, "out", "out", "directory for JSON")
	return &ffcli.Command{
		Name:       "latency",
		ShortUsage: "hoistlab latency [-rate 300]",
		ShortHelp:  "measure what the nodes add to a call, against the backend servers called directly",
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

// constantTimeChain returns the chain with backend servers that take the same time for every request.
func constantTimeChain() fleet.Deployment {
	d := fleet.Chain()
	for i := range d.Services {
		d.Services[i].Behaviour.Spread = 0
	}
	return d
}

// streams returns one stream through the nodes and one past them, to the same backend servers at the same rate.
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
