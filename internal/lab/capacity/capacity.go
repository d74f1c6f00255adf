// Package capacity measures what the control plane costs while no caller sends anything: real node processes of
// several fleet sizes, and for each the processor time, memory and bytes of a node, of leaders and of followers apart,
// the platform's calls, and the time until a changed document is in force everywhere.
//
// # Usage
//
//	runs, err := capacity.Measure(ctx, capacity.Config{Binary: path, Sizes: []int{6, 12, 24}, Zones: 3, Window: 10 * time.Second})
//	err = capacity.WriteTable(os.Stdout, runs)
//
// docs/CAPACITY.md draws the slopes from it.
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

// Config sets a measurement up.
type Config struct {
	// Binary is the path of the built comfreyhoist program.
	Binary string
	// Sizes are the numbers of nodes, measured one after the other.
	Sizes []int
	// Zones is the number of availability zones.
	Zones int
	// Settle is the time between the readiness of a fleet and the window.
	Settle time.Duration
	// Window is how long costs are counted.
	Window time.Duration
	// Changes is how many documents are changed, one after the other.
	Changes int
	// Output takes the logs of the nodes.
	Output io.Writer
}

// Run is the measurement of one size.
type Run struct {
	Nodes    int           `json:"nodes"`
	Zones    int           `json:"zones"`
	Services int           `json:"services"`
	Window   time.Duration `json:"window"`
	// Ready is the time from the start of the first process until every node knows all others.
	Ready    time.Duration `json:"ready"`
	Leader   Cost          `json:"leader"`
	Follower Cost          `json:"follower"`
	// PlatformReads and PlatformWrites are calls a second, all nodes together.
	PlatformReads  float64 `json:"platform_reads"`
	PlatformWrites float64 `json:"platform_writes"`
	// InForce are the times from the acceptance of each change until the last node had it in force.
	InForce []time.Duration `json:"in_force"`
	// MachineBusy is the part of all processors, from 0 to 1, that was busy during the window, whoever used them.
	MachineBusy float64 `json:"machine_busy"`
}

// Cost is the mean of the nodes of one role.
type Cost struct {
	Nodes int `json:"nodes"`
	// Core is the part of one processor, from 0 to 1.
	Core float64 `json:"core"`
	// Memory is the resident memory in bytes, the mean and the largest.
	Memory    float64 `json:"memory"`
	MaxMemory float64 `json:"max_memory"`
	// Sent and Received are bytes a second between nodes; Platform is both directions to the platform.
	Sent     float64 `json:"sent"`
	Received float64 `json:"received"`
	Platform float64 `json:"platform"`
	// MaxBytes is the highest sum of the three of any one node.
	MaxBytes float64 `json:"max_bytes"`
}

const (
	// instancesPerService is about what the planned fleet has.
	instancesPerService = 6
	// startTimeout bounds the start of a fleet.
	startTimeout = 90 * time.Second
	labSlots     = 35
	// labConnections is what each stand-in backend server gives.
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

// measureWindow counts the costs of the nodes over the window.
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

// idleDeployment returns a deployment of so many nodes in so many availability zones, whose services have documents like those of a real team.
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

// documentOf returns a document of six kinds; the edit makes it differ from the others.
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
