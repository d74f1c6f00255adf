// Command comfreyhoist is the product: the node that stands beside each backend server, and the operators' commands.
package main

import (
	"context"
	"errors"
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
	if err := rootCommand().ParseAndRun(ctx, os.Args[1:]); err != nil {
		stop()
		os.Exit(report(err))
	}
}

func rootCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "comfreyhoist",
		ShortUsage: "comfreyhoist <command> [flags]",
		LongHelp:   "Each command has -h.\n\nExample:\n  comfreyhoist check -settings samples/node.ini samples/documents/*.ini",
		FlagSet:    flag.NewFlagSet("comfreyhoist", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			nodeCommand(),
			checkCommand(),
			documentCommand(),
			drainCommand(),
			dumpCommand(),
			eventsCommand(),
			versionCommand(),
		},
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return trace.BadParameter("unknown command %q", arguments[0])
			}
			return flag.ErrHelp
		},
	}
}

// report prints the error, but for a request for help, which ffcli has answered already, and returns the exit code.
func report(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(os.Stderr, "comfreyhoist:", trace.UserMessage(err))
	return 1
}
