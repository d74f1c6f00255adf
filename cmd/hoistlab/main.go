// Command hoistlab runs experiments on real node processes, with simulated backend servers and stores, generated load
// and injected faults, and reports the results.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		Name:       "hoistlab",
		ShortUsage: "hoistlab <command> [flags]",
		Subcommands: []*ffcli.Command{
			demoCommand(),
			onceCommand(),
			soakCommand(),
			overloadCommand(),
			latencyCommand(),
			capacityCommand(),
			storeCommand(),
			backendCommand(),
			baselineCommand(),
			loadCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "hoistlab:", trace.UserMessage(err))
		stop()
		os.Exit(1)
	}
}

func demoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab demo", flag.ContinueOnError)
	duration := flags.Duration("duration", 10*time.Second, "length of the run")
	verbose := flags.Bool("verbose", false, "print the nodes' logs")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "hoistlab demo",
		ShortHelp:  "flood a small fleet with low-priority requests while urgent requests continue",
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return demo(ctx, *duration, *verbose) },
	}
}

func demo(ctx context.Context, duration time.Duration, verbose bool) error {
	return withFleet(ctx, fleet.Config{Deployment: fleet.Chain()}, verbose, func(f *fleet.Fleet) error {
		results := load.Run(ctx, load.Config{Streams: demoStreams(duration), Targets: f.Callers(), Duration: duration})
		return trace.Wrap(fleet.WriteTable(os.Stdout, fleet.Summarize(results)))
	})
}

func demoStreams(duration time.Duration) []load.Stream {
	stream := load.Stream{Service: "crew-scheduling", Method: http.MethodGet, Timeout: time.Second}
	urgent := stream
	urgent.Name, urgent.Path, urgent.Rate = "job sheets", "/urgent/sheets", 500
	booking := stream
	booking.Name, booking.Path, booking.Rate, booking.Rank = "bookings", "/bookings", 200, 2
	booking.Method = http.MethodPost
	archive := stream
	archive.Name, archive.Path, archive.Rate, archive.Rank = "archive", "/archive/2019", 200, 7
	flood := archive
	flood.Name, flood.Rate, flood.Start, flood.Stop, flood.Resends = "archive flood", 6000, duration/4, duration*3/4, 3
	return []load.Stream{urgent, booking, archive, flood}
}
