// Package fleet starts a complete small deployment on loopback addresses: real node processes, simulated backend
// servers and a simulated platform.
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
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

// Config configures a Fleet.
type Config struct {
	// Binary is the path of the built comfreyhoist program, or of hoistlab if Baseline is set.
	Binary     string
	Deployment Deployment
	// Output receives the logs of the nodes.
	Output io.Writer
	// Baseline runs the baseline balancer instead of the nodes.
	Baseline bool
	// Seed determines the random parts of the network faults.
	Seed uint64
	// ExtraFlags are additional flags for every node.
	ExtraFlags []string
}

// Fleet is a running deployment.
type Fleet struct {
	config Config
	Store  *store.Store
	// StoreURL is the address of the simulated platform, without the network faults.
	StoreURL string
	// Network connects the nodes with each other and with the platform.
	Network *proxy.Network
	Nodes   []*Node

	subnet      subnet
	platformURL string
	cancel      context.CancelFunc
	group       conc.WaitGroup
	http        *http.Server
}

// Start starts the platform, the backend servers and the nodes. Stop must be called, even after an error.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{config: config, subnet: newSubnet(), Store: store.New(), Network: proxy.NewNetwork(config.Seed), cancel: cancel}
	if err := f.startStore(ctx); err != nil {
		return f, trace.Wrap(err)
	}
	if err := f.putDocuments(ctx); err != nil {
		return f, trace.Wrap(err)
	}
	for _, s := range config.Deployment.Services {
		for i := range s.Instances {
			if err := f.addInstance(ctx, s, i); err != nil {
				return f, trace.Wrap(err)
			}
		}
	}
	if config.Baseline {
		return f, trace.Wrap(f.startBaseline())
	}
	return f, nil
}

// Stop asks all nodes to stop, waits for them, and then stops the backend servers and the platform.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		n.Resume()
		n.signal(syscall.SIGTERM)
	}
	for _, n := range f.Nodes {
		n.wait()
	}
	f.cancel()
	if f.http != nil {
		_ = f.http.Close()
	}
	f.group.Wait()
	f.Network.Wait()
}

// ProcessorTime returns the processor time that the processes of all nodes used. It counts only those that have ended.
func (f *Fleet) ProcessorTime() time.Duration {
	total := time.Duration(0)
	for _, n := range f.Nodes {
		n.mu.Lock()
		total += n.processorTime
		n.mu.Unlock()
	}
	return total
}

// Callers returns the caller addresses of all nodes.
func (f *Fleet) Callers() []string {
	var addresses []string
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Caller)
	}
	return addresses
}

// readyPoll is the time between two checks of a node that is not ready.
const readyPoll = 50 * time.Millisecond

// WaitReady waits until every node knows all others and responds to callers. It returns an error immediately if a
// backend server failed.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, n := range f.Nodes {
		for !f.isReady(ctx, n) {
			if err := n.serverError(); err != nil {
				return trace.Wrap(err, "backend server of node %s", n.Name)
			}
			select {
			case <-ctx.Done():
				return trace.LimitExceeded("node %s is not ready: %v", n.Name, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func (f *Fleet) isReady(ctx context.Context, n *Node) bool {
	if f.config.Baseline {
		return answersCallers(ctx, n.Caller)
	}
	dump, err := FetchDump(ctx, n.Backend)
	if err != nil || len(dump.Board.Documents.ByService) < len(f.config.Deployment.Services) {
		return false
	}
	return dump.Board.Members.CountAcceptingRequests() == len(f.Nodes) && answersCallers(ctx, n.Caller)
}

// answersCallers reports whether the node has answered a caller. A node makes callers wait until it has learned of the
// services. The status of the response does not matter; the requested path is unknown.
func answersCallers(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}

func (f *Fleet) startStore(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err)
	}
	f.StoreURL = "http://" + listener.Addr().String()
	f.http = &http.Server{Handler: f.Store.Handler(), BaseContext: func(net.Listener) context.Context { return ctx }}
	f.group.Go(func() { _ = f.http.Serve(listener) })
	address, err := f.Network.Listen(ctx, PlatformEndpoint, listener.Addr().String())
	f.platformURL = "http://" + address
	return trace.Wrap(err)
}

// PlatformEndpoint is the platform's name in the Network. Nodes use their own names.
const PlatformEndpoint = "platform"

func (f *Fleet) putDocuments(ctx context.Context) error {
	client := platform.NewClient(platform.Config{URL: f.StoreURL, Timeout: time.Second})
	for _, s := range f.config.Deployment.Services {
		if err := putDocument(ctx, client, s); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// addInstance starts a backend server and, unless the fleet runs the baseline, its node.
func (f *Fleet) addInstance(ctx context.Context, s Service, number int) error {
	n, err := f.newNode(ctx, s, number)
	if err != nil {
		return trace.Wrap(err)
	}
	f.Nodes = append(f.Nodes, n)
	if !f.config.Baseline {
		if err := n.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	f.group.Go(func() { n.setServerError(n.Server.Run(ctx)) })
	return nil
}

func (f *Fleet) newNode(ctx context.Context, s Service, number int) (*Node, error) {
	zones := f.config.Deployment.Zones
	n := &Node{
		Name:    fmt.Sprintf("%s_%d", s.Name, number),
		Zone:    zones[(s.FirstZone+number)%len(zones)],
		Service: s.Name,
		IP:      f.subnet.ip(len(f.Nodes)),
		output:  f.config.Output,
	}
	addresses, err := freeAddresses(n.IP, 5)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.Caller, n.Backend, n.Operator = addresses[0], addresses[1], addresses[2]
	f.Network.RegisterIP(n.IP, n.Name)
	n.Peer, err = f.Network.Listen(ctx, n.Name, addresses[3])
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.command = append([]string{f.config.Binary}, f.arguments(n, addresses[3])...)
	n.Server = server.New(server.Config{
		Service:        s.Name,
		Address:        addresses[4],
		NodeBackend:    n.Backend,
		NodeCaller:     n.Caller,
		Slots:          s.Slots,
		AnnouncedSlots: s.AnnouncedSlots,
		Connections:    s.Connections,
		Behaviour:      s.Behaviour,
	})
	return n, nil
}

// OperatorToken authorizes edits of every document of a fleet.
const OperatorToken = "operator-token-of-the-lab"

func (f *Fleet) arguments(n *Node, peerListen string) []string {
	return append([]string{
		"node",
		"-node.name", n.Name,
		"-node.zone", n.Zone,
		"-node.zones", strings.Join(f.config.Deployment.Zones, ","),
		"-caller.address", n.Caller,
		"-peer.address", peerListen,
		"-peer.advertised", n.Peer,
		"-backend.address", n.Backend,
		"-operator.address", n.Operator,
		"-operator.tokens", "*:" + OperatorToken,
		"-platform.url", f.platformURL,
	}, f.config.ExtraFlags...)
}

// startBaseline runs the baseline balancer at every node's caller address, each in its own process as a node would be.
func (f *Fleet) startBaseline() error {
	var instances []string
	for _, n := range f.Nodes {
		instances = append(instances, n.Service+"="+n.Server.Address())
	}
	for _, n := range f.Nodes {
		n.command = []string{f.config.Binary, BaselineCommand, "-address", n.Caller, "-instances", strings.Join(instances, ",")}
		if err := n.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// BaselineCommand is the hoistlab command that runs the baseline balancer instead of a node.
const BaselineCommand = "baseline"

// Build builds the comfreyhoist program into the directory and returns its path.
func Build(ctx context.Context, directory string) (string, error) {
	path := directory + "/comfreyhoist"
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "github.com/comfreyhoist/comfreyhoist/cmd/comfreyhoist")
	build.Stderr = os.Stderr
	return path, trace.Wrap(build.Run())
}
