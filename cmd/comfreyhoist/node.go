package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/process/node"
	"github.com/comfreyhoist/comfreyhoist/internal/process/reload"
	"github.com/comfreyhoist/comfreyhoist/internal/process/routed"
	"github.com/comfreyhoist/comfreyhoist/platform"
)

const nodeHelp = `Runs one node beside its backend server until SIGTERM or SIGINT, which drain it first.
A flag overrides the environment, which overrides the INI file: -caller.address, then
COMFREYHOIST_CALLER_ADDRESS, then address in the section [caller].

Example:
  comfreyhoist node -config samples/node.ini -log.level debug`

func nodeCommand() *ffcli.Command {
	flags := flag.NewFlagSet("comfreyhoist node", flag.ContinueOnError)
	s := settings.Register(flags)
	flags.String("config", "", "INI file with settings")
	return &ffcli.Command{
		Name:       "node",
		ShortUsage: "comfreyhoist node -config node.ini [flags]",
		ShortHelp:  "run one node",
		LongHelp:   nodeHelp,
		FlagSet:    flags,
		Options:    s.Options(flags),
		Exec: func(ctx context.Context, _ []string) error {
			return runNode(ctx, s, flags.Lookup("config").Value.String())
		},
	}
}

// maxBufferedLogLines is the number of log lines that are buffered. If the reader of the log is too slow, lines are
// dropped instead of delaying requests.
const maxBufferedLogLines = 1000

func runNode(ctx context.Context, s *settings.Settings, config string) error {
	if err := s.Check(); err != nil {
		return trace.Wrap(err)
	}
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return trace.BadParameter("log.level: %v", err)
	}
	lines := diode.NewWriter(os.Stdout, maxBufferedLogLines, 0, func(dropped int) {
		fmt.Fprintln(os.Stderr, "comfreyhoist: log lines dropped:", dropped)
	})
	defer func() { _ = lines.Close() }()
	log := events.NewLog(lines, level, s.Node.Name)
	var group conc.WaitGroup
	defer group.Wait()
	// SIGHUP ends a process that doesn't handle it, so it is handled during the drain too.
	reloadCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	reload.New(reload.Config{Arguments: []string{"-config", config}, Log: log}).Run(reloadCtx, &group)
	if s.Platform.Source == settings.SourceRoutes {
		adapter, err := platform.NewAdapter(s)
		if err != nil {
			return trace.Wrap(err)
		}
		return trace.Wrap(routed.Run(ctx, routed.Config{Settings: s, Log: log, Adapter: adapter}))
	}
	return trace.Wrap(node.Run(ctx, node.Config{Settings: s, Log: log}))
}
