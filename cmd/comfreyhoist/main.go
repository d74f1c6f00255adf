// Command comfreyhoist is the product: the node that stands beside each backend server, and the operators' commands.
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
	"github.com/rs/zerolog"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/process/node"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		Name:        "comfreyhoist",
		ShortUsage:  "comfreyhoist <command> [flags]",
		Subcommands: []*ffcli.Command{nodeCommand(), documentCommand(), drainCommand(), dumpCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "comfreyhoist:", trace.UserMessage(err))
		stop()
		os.Exit(1)
	}
}

func nodeCommand() *ffcli.Command {
	flags := flag.NewFlagSet("comfreyhoist node", flag.ContinueOnError)
	s := settings.Register(flags)
	flags.String("config", "", "INI file with settings")
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "comfreyhoist node -config node.ini [flags]",
		ShortHelp:  "run one node",
		FlagSet:    flags,
		Options:    settings.Options(),
		Exec:       func(ctx context.Context, _ []string) error { return runNode(ctx, s) },
	}
}

func runNode(ctx context.Context, s *settings.Settings) error {
	if err := s.Check(); err != nil {
		return trace.Wrap(err)
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return trace.BadParameter("log.level: %v", err)
	}
	log := events.NewLog(os.Stderr, level, s.Node.Name)
	return trace.Wrap(node.Run(ctx, node.Config{Settings: s, Log: log}))
}
