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
	seeds := flags.Uint64("seeds", 1, "number of seeds, run one after the other")
	duration := flags.Duration("duration", 30*time.Second, "time during which faults are injected, for each seed")
	instances := flags.Int("instances", 1, "backend servers of each service in each availability zone")
	rate := flags.Float64("rate", 0, "requests of callers per second; 0 for the default")
	logDirectory := flags.String("logs", "", "directory for the nodes' settings and logs; if empty, a temporary directory is used and removed")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "hoistlab soak [-seed N] [-seeds N] [-duration D] [-logs DIR]",
		ShortHelp:  "run nodes that follow routes under injected faults, and check the guarantees to callers and backend servers",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			config := soak.Config{Duration: *duration, LaterFaults: true, RepeatFaults: true, SilentFaults: true, SharedDeadlines: true, Instances: *instances, Rate: *rate, Output: os.Stderr}
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

// runSeeds runs one seed after the other, each with its own directory below the parent.
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
		return trace.BadParameter("%d of %d seeds had violations", failedSeeds, seeds)
	}
	return nil
}
