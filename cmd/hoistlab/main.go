// Command hoistlab runs experiments on real node processes, with simulated backend servers and stores, generated load
// and injected faults, and reports the results.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
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
			generateCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "hoistlab:", trace.UserMessage(err))
		stop()
		os.Exit(1)
	}
}
