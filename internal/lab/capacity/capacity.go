// Package capacity measures the cost of the control plane without any caller traffic. It runs fleets of several sizes
// with real node processes and measures the processor time, memory and bytes of each node, for leaders and followers
// separately, the calls to the platform, and the time until a changed document is in force on all nodes.
//
// # Usage
//
//	runs, err := capacity.Measure(ctx, capacity.Config{Binary: path, Sizes: []int{6, 12, 24}, Zones: 3, Window: 10 * time.Second})
//	err = capacity.WriteTable(os.Stdout, runs)
//
// docs/CAPACITY.md is based on the slopes that WriteTable prints.
package capacity

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
)

// Config configures a measurement.
type Config struct {
	// Binary is the path of the built comfreyhoist program.
	Binary string
	// Sizes are the numbers of nodes to measure, one after the other.
	Sizes []int
	// Zones is the number of availability zones.
	Zones int
	// Settle is the time between the readiness of a fleet and the start of the window.
	Settle time.Duration
	// Window is the duration over which costs are counted.
	Window time.Duration
	// Changes is the number of documents to change, one after the other.
	Changes int
	// Output receives the logs of the nodes.
	Output io.Writer
}

// Run is the measurement of one fleet size.
type Run struct {
	Nodes    int           `json:"nodes"`
	Zones    int           `json:"zones"`
	Services int           `json:"services"`
	Window   time.Duration `json:"window"`
	// Ready is the time from the start of the first process until every node knows all others.
	Ready    time.Duration `json:"ready"`
	Leader   Cost          `json:"leader"`
	Follower Cost          `json:"follower"`
	// PlatformReads and PlatformWrites are calls per second, of all nodes together.
	PlatformReads  float64 `json:"platform_reads"`
	PlatformWrites float64 `json:"platform_writes"`
	// InForce has, for each change, the time from its acceptance until the last node had it in force.
	InForce []time.Duration `json:"in_force"`
	// MachineBusy is the utilization of all processors of the machine during the window, from 0 to 1, by any process.
	MachineBusy float64 `json:"machine_busy"`
}

// Cost is the mean cost of the nodes with one role.
type Cost struct {
	Nodes int `json:"nodes"`
	// Core is the utilization of one processor, where 1 is a whole processor.
	Core float64 `json:"core"`
	// Memory and MaxMemory are the mean and the largest resident memory in bytes.
	Memory    float64 `json:"memory"`
	MaxMemory float64 `json:"max_memory"`
	// Sent and Received are bytes per second between nodes. Platform is bytes per second to and from the platform.
	Sent     float64 `json:"sent"`
	Received float64 `json:"received"`
	Platform float64 `json:"platform"`
	// MaxBytes is the largest sum of Sent, Received and Platform of any node.
	MaxBytes float64 `json:"max_bytes"`
}

const (
	// instancesPerService is close to the mean of the planned fleet.
	instancesPerService = 6
	// startTimeout limits the time until a fleet is ready.
	startTimeout = 90 * time.Second
	// labSlots is the number of slots that each simulated backend server announces.
	labSlots = 35
	// labConnections is the maximum number of connections that each simulated backend server announces.
	labConnections = 300
)

// Measure measures each size in turn.
func Measure(ctx context.Context, config Config) ([]Run, error) {
	var runs []Run
	for _, size := range config.Sizes {
		run, err := measureSize(ctx, config, size)
		if err != nil {
			return runs, trace.Wrap(err, "%d nodes", size)
		}
		runs = append(runs, run)
	}
	return runs, nil
}

func measureSize(ctx context.Context, config Config, size int) (Run, error) {
	deployment := idleDeployment(size, config.Zones)
	run := Run{Nodes: size, Zones: config.Zones, Services: len(deployment.Services), Window: config.Window}
	begin := time.Now()
	f, err := fleet.Start(ctx, fleet.Config{Binary: config.Binary, Deployment: deployment, Output: config.Output})
	defer f.Stop()
	if err != nil {
		return run, trace.Wrap(err)
	}
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.WaitReady(ready); err != nil {
		return run, trace.Wrap(err)
	}
	run.Ready = time.Since(begin)
	if err := sleep(ctx, config.Settle); err != nil {
		return run, trace.Wrap(err)
	}
	if err := run.measureWindow(ctx, f); err != nil {
		return run, trace.Wrap(err)
	}
	run.InForce, err = changeDocuments(ctx, f, config.Changes)
	return run, trace.Wrap(err)
}

// measureWindow measures the costs of the nodes over the window.
func (r *Run) measureWindow(ctx context.Context, f *fleet.Fleet) error {
	before, err := takeSnapshot(f)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := sleep(ctx, r.Window); err != nil {
		return trace.Wrap(err)
	}
	after, err := takeSnapshot(f)
	if err != nil {
		return trace.Wrap(err)
	}
	leaderNames, err := leaders(ctx, f)
	if err != nil {
		return trace.Wrap(err)
	}
	r.setCosts(f, before, after, leaderNames)
	return nil
}

// idleDeployment returns a deployment with the given numbers of nodes and availability zones, and realistic documents.
func idleDeployment(size, zones int) fleet.Deployment {
	d := fleet.Deployment{}
	for i := range zones {
		d.Zones = append(d.Zones, fmt.Sprintf("zone_%d", i))
	}
	for left := size; left > 0; left -= instancesPerService {
		name := fmt.Sprintf("service-%d", len(d.Services))
		d.Services = append(d.Services, fleet.Service{
			Name:        name,
			Document:    documentOf(name, 0),
			Instances:   min(left, instancesPerService),
			FirstZone:   size - left,
			Slots:       labSlots,
			Connections: labConnections,
			Behaviour:   server.Behaviour{ServiceTime: time.Millisecond, Queue: labSlots},
		})
	}
	return d
}

// documentOf returns a document with six kinds. The edit number makes its versions differ.
func documentOf(service string, edit int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Edit %d.\n[service]\nname = %s\nteam = %s-team\nattempts = 2\n", edit, service, service)
	for i := range 6 {
		fmt.Fprintf(&b, "\n[kind kind_%d]\nmethod = GET\npath = /kind_%d/*\nrank = %d\nidempotent = true\ndeadline = 2s\nshare = 2\n", i, i, i)
	}
	return b.String()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-time.After(d):
		return nil
	}
}
