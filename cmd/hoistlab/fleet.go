package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
)

// readyTimeout limits the time until a started fleet is ready.
const readyTimeout = 30 * time.Second

// withFleet builds comfreyhoist, starts a fleet and runs f on it. The nodes' logs go to standard error if verbose is
// set, and are discarded otherwise.
func withFleet(ctx context.Context, config fleet.Config, verbose bool, f func(*fleet.Fleet) error) error {
	return withBinary(ctx, func(_, binary string) error {
		config.Binary, config.Output = binary, io.Discard
		if verbose {
			config.Output = os.Stderr
		}
		running, err := startFleet(ctx, config)
		defer running.Stop()
		if err != nil {
			return trace.Wrap(err)
		}
		return f(running)
	})
}

// withBinary builds comfreyhoist in a temporary directory and calls f. The directory is removed afterwards.
func withBinary(ctx context.Context, f func(directory, binary string) error) error {
	directory, err := os.MkdirTemp("", "hoistlab")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary, err := fleet.Build(ctx, directory)
	if err != nil {
		return trace.Wrap(err)
	}
	return f(directory, binary)
}

// startFleet starts a fleet and waits until it is ready. The caller must stop the fleet even if there is an error.
func startFleet(ctx context.Context, config fleet.Config) (*fleet.Fleet, error) {
	f, err := fleet.Start(ctx, config)
	if err != nil {
		return f, trace.Wrap(err)
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return f, trace.Wrap(f.WaitReady(ready))
}
