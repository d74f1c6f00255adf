package main

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/once"
)

// onceInstances is the number of instances of a service: two in each availability zone.
const onceInstances = 6

// ownersSettleTime is how long to wait until the nodes agree on the key owners.
const ownersSettleTime = 3 * time.Second

func onceCommand() *ffcli.Command {
	flags := flag.NewFlagSet("hoistlab once", flag.ContinueOnError)
	duration := flags.Duration("duration", time.Minute, "length of the run")
	seed := flags.Uint64("seed", 1, "seed of the faults and the callers")
	callers := flags.Int("callers", 12, "callers, each of which sends one booking after the other")
	calm := flags.Bool("calm", false, "inject no faults")
	polite := flags.Bool("polite", false, "send each booking once, and idempotent requests as well")
	outage := flags.String("outage", "", "platform or zone: what is unavailable for the whole run, instead of other faults")
	verbose := flags.Bool("verbose", false, "print the nodes' logs")
	return &ffcli.Command{
		Name:       "once",
		ShortUsage: "hoistlab once [-seed N] [-duration D]",
		ShortHelp:  "resend bookings under faults and compare the outcomes with the ledgers",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			config := once.Config{Duration: *duration, Seed: *seed, Callers: *callers, NoFaults: *calm, Outage: once.Outage(*outage)}
			config.SingleSend = *polite || config.Outage != once.NoOutage
			return runOnce(ctx, config, *verbose)
		},
	}
}

func runOnce(ctx context.Context, config once.Config, verbose bool) error {
	deployment := fleet.Config{Deployment: once.Deployment(onceInstances), Seed: config.Seed}
	return withFleet(ctx, deployment, verbose, func(f *fleet.Fleet) error {
		time.Sleep(ownersSettleTime)
		config.Fleet, config.Service, config.Output = f, "bookings", os.Stderr
		return writeOnceReport(once.Run(ctx, config), config.Seed)
	})
}

func writeOnceReport(r once.Report, seed uint64) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return trace.Wrap(err)
	}
	if len(r.Violations) > 0 {
		return trace.BadParameter("%d violations with seed %d", len(r.Violations), seed)
	}
	return nil
}
