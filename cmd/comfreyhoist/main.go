// Command comfreyhoist runs the node beside a backend server. Its other commands are for operators: they check files,
// read and write documents, and drain or dump a node.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ParseAndRun(ctx, os.Args[1:]); err != nil {
		stop()
		os.Exit(reportError(err, os.Args[1:]))
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

// The exit codes of failed commands.
const (
	exitFailure = 1
	exitUsage   = 2
)

// reportError prints the error and returns the exit code. It prints nothing for flag.ErrHelp, because ffcli has already
// printed the help. Requested help is a success; help because of missing arguments is a usage error.
func reportError(err error, arguments []string) int {
	switch {
	case !errors.Is(err, flag.ErrHelp):
		fmt.Fprintln(os.Stderr, "comfreyhoist:", trace.UserMessage(err))
		return exitFailure
	case slices.ContainsFunc(arguments, isHelpFlag):
		return 0
	default:
		return exitUsage
	}
}

func isHelpFlag(argument string) bool {
	name := strings.TrimLeft(argument, "-")
	return name != argument && (name == "h" || name == "help")
}
