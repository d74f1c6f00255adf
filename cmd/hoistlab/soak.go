package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/platform/soak"
)

func soakCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab soak", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "first seed of the faults and the callers")
	seeds := flags.Uint64("seeds", 1, "how many seeds, one after the other")
	duration := flags.Duration("duration", 30*time.Second, "for how long faults are injected, for each seed")
	instances := flags.Int("instances", 1, "backend servers of each service in each availability zone")
	rate := flags.Float64("rate", 0, "requests of callers in a second; 0 for the default")
	keep := flags.String("logs", "", "directory for the nodes' settings and logs; empty for one that is removed")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "hoistlab soak [-seed N] [-seeds N] [-duration D] [-logs DIR]",
		ShortHelp:  "run nodes that go by routes under faults, and check what callers and backend servers see",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			config := soak.Config{Duration: *duration, Instances: *instances, Rate: *rate, Output: os.Stderr}
			return runSoak(ctx, config, *seed, *seeds, *keep)
		},
	}
}

func runSoak(ctx context.Context, config soak.Config, seed, seeds uint64, keep string) error {
	directory, err := os.MkdirTemp("", "comfreyhoist")
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if config.Binary, err = fleet.Build(ctx, directory); err != nil {
		return err
	}
	broken := 0
	for config.Seed = seed; config.Seed < seed+seeds; config.Seed++ {
		if config.Directory, err = soakDirectory(directory, keep, config.Seed); err != nil {
			return err
		}
		report, err := soak.Run(ctx, config)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return trace.Wrap(err)
		}
		if len(report.Violations) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return trace.BadParameter("%d of %d seeds broke a promise", broken, seeds)
	}
	return nil
}

func soakDirectory(temporary, keep string, seed uint64) (string, error) {
	parent := temporary
	if keep != "" {
		parent = keep
	}
	directory := fmt.Sprintf("%s/seed_%d", parent, seed)
	return directory, trace.Wrap(os.MkdirAll(directory, 0o700))
}
