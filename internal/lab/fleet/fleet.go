// Package fleet starts a whole small deployment on loopback: real node processes, stand-in backend servers and a
// stand-in platform.
//
// # Usage
//
//	f, err := fleet.Start(ctx, fleet.Config{Binary: path, Deployment: fleet.Chain()})
//	defer f.Stop()
//	err = f.WaitReady(ctx)
package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

// Config sets a Fleet up.
type Config struct {
	// Binary is the path of the built comfreyhoist program.
	Binary     string
	Deployment Deployment
	// Output takes the logs of the nodes.
	Output io.Writer
}

// Fleet is a running deployment.
type Fleet struct {
	config Config
	Store  *store.Store
	// StoreURL is where the platform's stand-in listens.
	StoreURL string
	Nodes    []*Node

	cancel context.CancelFunc
	group  conc.WaitGroup
	http   *http.Server
}

// Node is one node process with its stand-in backend server.
type Node struct {
	Name    string
	Zone    string
	Service string
	Caller  string
	Peer    string
	Backend string
	Server  *server.Server
	process *exec.Cmd
}

// Start starts everything. Stop must be called, also after an error.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{config: config, Store: store.New(), cancel: cancel}
	if err := f.startStore(ctx); err != nil {
		return f, trace.Wrap(err)
	}
	if err := f.putDocuments(ctx); err != nil {
		return f, trace.Wrap(err)
	}
	for _, s := range config.Deployment.Services {
		for i := range s.Instances {
			if err := f.startNode(ctx, s, i); err != nil {
				return f, trace.Wrap(err)
			}
		}
	}
	return f, nil
}

// Stop asks all nodes to stop, waits for them, and ends the stand-ins.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		_ = n.process.Process.Signal(syscall.SIGTERM)
	}
	for _, n := range f.Nodes {
		_ = n.process.Wait()
	}
	f.cancel()
	if f.http != nil {
		_ = f.http.Close()
	}
	f.group.Wait()
}

// Callers returns the caller addresses of all nodes.
func (f *Fleet) Callers() []string {
	var addresses []string
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Caller)
	}
	return addresses
}

// readyPoll is the time between looks at a node that is not ready.
const readyPoll = 50 * time.Millisecond

// WaitReady waits until every node knows every other.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, n := range f.Nodes {
		for !f.ready(ctx, n) {
			select {
			case <-ctx.Done():
				return trace.LimitExceeded("node %s is not ready: %v", n.Name, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func (f *Fleet) ready(ctx context.Context, n *Node) bool {
	dump, err := FetchDump(ctx, n.Backend)
	if err != nil || len(dump.Board.Documents.ByService) < len(f.config.Deployment.Services) {
		return false
	}
	known := 0
	for _, members := range dump.Board.Members.ByService {
		known += len(members)
	}
	return known == len(f.Nodes)
}

func (f *Fleet) startStore(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	f.StoreURL = "http://" + listener.Addr().String()
	f.http = &http.Server{Handler: f.Store.Handler(), BaseContext: func(net.Listener) context.Context { return ctx }}
	f.group.Go(func() { _ = f.http.Serve(listener) })
	return nil
}

func (f *Fleet) putDocuments(ctx context.Context) error {
	client := platform.NewClient(platform.Config{URL: f.StoreURL, Timeout: time.Second})
	for _, s := range f.config.Deployment.Services {
		if err := putDocument(ctx, client, s); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (f *Fleet) startNode(ctx context.Context, s Service, number int) error {
	zones := f.config.Deployment.Zones
	n := &Node{
		Name:    fmt.Sprintf("%s_%d", s.Name, number),
		Zone:    zones[number%len(zones)],
		Service: s.Name,
	}
	addresses, err := freeAddresses(4)
	if err != nil {
		return trace.Wrap(err)
	}
	n.Caller, n.Peer, n.Backend = addresses[0], addresses[1], addresses[2]
	n.process = exec.Command(f.config.Binary, f.arguments(n)...)
	n.process.Stdout, n.process.Stderr = f.config.Output, f.config.Output
	if err := n.process.Start(); err != nil {
		return trace.Wrap(err)
	}
	f.Nodes = append(f.Nodes, n)
	n.Server = server.New(server.Config{
		Service:     s.Name,
		Address:     addresses[3],
		NodeBackend: n.Backend,
		NodeCaller:  n.Caller,
		Slots:       s.Slots,
		Connections: s.Connections,
		Behaviour:   s.Behaviour,
	})
	f.group.Go(func() { _ = n.Server.Run(ctx) })
	return nil
}

func (f *Fleet) arguments(n *Node) []string {
	return []string{
		"node",
		"-node.name", n.Name,
		"-node.zone", n.Zone,
		"-node.zones", joinZones(f.config.Deployment.Zones),
		"-caller.address", n.Caller,
		"-peer.address", n.Peer,
		"-backend.address", n.Backend,
		"-platform.url", f.StoreURL,
	}
}

// freeAddresses returns loopback addresses whose ports were free a moment ago.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.Wrap(err)
		}
		addresses = append(addresses, l.Addr().String())
		defer func() { _ = l.Close() }()
	}
	return addresses, nil
}

// Build builds the product's program into the directory and returns its path.
func Build(ctx context.Context, directory string) (string, error) {
	path := directory + "/comfreyhoist"
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "github.com/comfreyhoist/comfreyhoist/cmd/comfreyhoist")
	build.Stderr = os.Stderr
	return path, trace.Wrap(build.Run())
}
