package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/capacity"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/report"
)

const capacityHelp = `Starts fleets of real, idle node processes, one size after the other, and measures the cost of the
control plane: processor time, memory and bytes of a node, for leaders and followers separately, the calls of the
platform, and the time until a changed document is in force everywhere. Prints a table with slopes and writes capacity.json.

Example:
  hoistlab capacity -nodes 6,12,24,48 -window 10s`

// capacityFlags holds the flags of the capacity command.
type capacityFlags struct {
	nodes   string
	zones   int
	settle  time.Duration
	window  time.Duration
	changes int
	out     string
}

func capacityCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab capacity", flag.ContinueOnError)
	c := &capacityFlags{}
	flags.StringVar(&c.nodes, "nodes", "6,12,24,48", "numbers of nodes, separated by commas")
	flags.IntVar(&c.zones, "zones", 3, "number of availability zones")
	flags.DurationVar(&c.settle, "settle", 5*time.Second, "time between readiness and the measurement window")
	flags.DurationVar(&c.window, "window", 10*time.Second, "length of the measurement window")
	flags.IntVar(&c.changes, "changes", 5, "documents changed at each size")
	flags.StringVar(&c.out, "out", "out", "directory for JSON and the nodes' logs")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "hoistlab capacity [-nodes 6,12,24,48]",
		ShortHelp:  "measure the cost of the control plane at several fleet sizes",
		LongHelp:   capacityHelp,
		FlagSet:    flags,
		Exec:       func(ctx context.Context, _ []string) error { return measureCapacity(ctx, c) },
	}
}

func measureCapacity(ctx context.Context, c *capacityFlags) error {
	sizes, err := parseSizes(c.nodes)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.MkdirAll(c.out, directoryMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	binary, err := fleet.Build(ctx, c.out)
	if err != nil {
		return trace.Wrap(err)
	}
	logs, err := os.Create(filepath.Join(c.out, "capacity.log"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = logs.Close() }()
	runs, err := capacity.Measure(ctx, capacity.Config{
		Binary:  binary,
		Sizes:   sizes,
		Zones:   c.zones,
		Settle:  c.settle,
		Window:  c.window,
		Changes: c.changes,
		Output:  logs,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := report.WriteJSON(filepath.Join(c.out, "capacity.json"), runs); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(capacity.WriteTable(os.Stdout, runs))
}

func parseSizes(list string) ([]int, error) {
	var sizes []int
	for _, text := range strings.Split(list, ",") {
		size, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || size < 1 {
			return nil, trace.BadParameter("nodes: %q is not a number of nodes", text)
		}
		sizes = append(sizes, size)
	}
	return sizes, nil
}
