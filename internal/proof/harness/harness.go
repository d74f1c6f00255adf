// Package harness starts fleets of node processes for the end-to-end tests under internal/proof.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }
//
//	f := harness.Start(t, fleet.Config{Deployment: fleet.Chain()})
//	harness.Eventually(t, 10*time.Second, func() bool { return f.Store.Counts().Writes > 0 })
package harness

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
)

// binary is the path of the comfreyhoist executable, built once for all tests of a package.
var binary string

const (
	// startTimeout limits how long a started fleet may take to become ready.
	startTimeout = 60 * time.Second
	// pollInterval is the time between two evaluations of a condition.
	pollInterval = 20 * time.Millisecond
)

// Main builds the comfreyhoist executable, runs the tests of the package and returns the exit code.
func Main(m *testing.M) int {
	directory, err := os.MkdirTemp("", "comfreyhoist")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if binary, err = fleet.Build(context.Background(), directory); err != nil {
		panic(err)
	}
	return m.Run()
}

// Start starts a fleet, waits until every node knows all other nodes, and stops the fleet at the end of the test.
func Start(t *testing.T, config fleet.Config) *fleet.Fleet {
	t.Helper()
	config.Binary = binary
	if config.Output == nil {
		config.Output = t.Output()
	}
	f, err := fleet.Start(t.Context(), config)
	t.Cleanup(f.Stop)
	if err != nil {
		t.Fatalf("fleet did not start: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatalf("fleet is not ready: %v", err)
	}
	return f
}

// StartWithoutDrain starts a fleet as Start does but kills its nodes at the end of the test instead of draining them. It is for
// tests that check nothing after their last step.
func StartWithoutDrain(t *testing.T, config fleet.Config) *fleet.Fleet {
	t.Helper()
	f := Start(t, config)
	t.Cleanup(func() {
		for _, n := range f.Nodes {
			n.Kill()
		}
	})
	return f
}

// Eventually waits until the condition holds and fails the test if it does not hold within the timeout.
func Eventually(t *testing.T, timeout time.Duration, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("the condition did not hold within %s", timeout)
		}
		time.Sleep(pollInterval)
	}
}
