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

	"github.com/comfreyhoist/comfreyhoist/platform/soak"
)

func soakCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab soak", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "first seed of the faults and the callers")
	seeds := flags.Uint64("seeds", 1, "how many seeds, one after the other")
	duration := flags.Duration("duration", 30*time.Second, "for how long faults are injected, for each seed")
	instances := flags.Int("instances", 1, "backend servers of each service in each availability zone")
	rate := flags.Float64("rate", 0, "requests of callers in a second; 0 for the default")
	logDirectory := flags.String("logs", "", "directory for the nodes' settings and logs; empty for one that is removed")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "hoistlab soak [-seed N] [-seeds N] [-duration D] [-logs DIR]",
		ShortHelp:  "run nodes that go by routes under faults, and check what callers and backend servers see",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			config := soak.Config{Duration: *duration, Instances: *instances, Rate: *rate, Output: os.Stderr}
			return runSoak(ctx, config, *seed, *seeds, *logDirectory)
		},
	}
}

func runSoak(ctx context.Context, config soak.Config, seed, seeds uint64, logDirectory string) error {
	return withBinary(ctx, func(directory, binary string) error {
		config.Binary = binary
		if logDirectory == "" {
			logDirectory = directory
		}
		return runSeeds(ctx, config, seed, seeds, logDirectory)
	})
}

// runSeeds plays one seed after the other; each has a directory of its own below the parent.
func runSeeds(ctx context.Context, config soak.Config, seed, seeds uint64, parent string) error {
	failedSeeds := 0
	for config.Seed = seed; config.Seed < seed+seeds; config.Seed++ {
		config.Directory = fmt.Sprintf("%s/seed_%d", parent, config.Seed)
		if err := os.MkdirAll(config.Directory, 0o700); err != nil {
			return trace.ConvertSystemError(err)
		}
		report, err := soak.Run(ctx, config)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return trace.Wrap(err)
		}
		if len(report.Violations) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return trace.BadParameter("%d of %d seeds broke a promise", failedSeeds, seeds)
	}
	return nil
}
