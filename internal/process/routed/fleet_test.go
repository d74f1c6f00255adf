package routed_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
	"github.com/comfreyhoist/comfreyhoist/internal/process/routed"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
)

// The headers that the tests use.
var (
	callerHeaders  = caller.RoutedHeaders{RequestID: "Request-Name", Timeout: "Time-Left", CallerService: "Calling-Service"}
	backendHeaders = backend.Headers{
		TimeLeft: "Time-Left", Instance: "Only-Instance", RequestID: "Request-Name", Signature: "Signature", NotRun: "Not-Run",
		RateLimit: "Rate-Limit", Leaving: "Leaving",
	}
)

const routesKey = "op/routes"

// routesBound is the time by which a change of the routes must be in force.
const routesBound = 2 * time.Second

// fleet holds a store and nodes on loopback addresses, each beside a backend server of the test.
type fleet struct {
	store *kv.Store
	// stopGrace is the grace time of the nodes that are started.
	stopGrace time.Duration
	// flags are further flags of the nodes that are added.
	flags []string
	group conc.WaitGroup
	nodes []*testNode
}

// testNode holds one node and its backend server.
type testNode struct {
	settings *settings.Settings
	server   *httptest.Server
	log      *syncBuffer
	announce func(backend.Announcement)
	departed func(instance string)
	ready    func() bool
	stop     context.CancelFunc
	ended    chan struct{}
	started  atomic.Int64
	sequence atomic.Uint64
	service  string
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func newFleet(tb testing.TB, configuration routes.Configuration) *fleet {
	f := &fleet{store: kv.New(), stopGrace: 6 * time.Second}
	f.setRoutes(tb, configuration)
	tb.Cleanup(f.stop)
	return f
}

func (f *fleet) setRoutes(tb testing.TB, configuration routes.Configuration) {
	value, err := json.Marshal(configuration)
	is.New(tb).NoErr(err)
	f.store.ForcePut(routesKey, value)
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
	f.group.Wait()
	for _, n := range f.nodes {
		n.server.Close()
	}
}

// nodeCount numbers the nodes of all tests.
var nodeCount atomic.Int64

// The ports of a node. Each node has its own IP address, so that no outgoing connection takes one of its ports.
const (
	callerPort  = "18311"
	peerPort    = "18312"
	backendPort = "18313"
	readyPort   = "18314"
)

// nextIP returns a loopback address that no other node of this or another test process has.
func nextIP() string {
	const octet = 250
	pid := os.Getpid()
	number := int(nodeCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 100+(pid/octet+number/octet)%100, pid%octet, number%octet+1)
}

// add starts a node in the availability zone, beside a backend server of the service that runs the handler.
func (f *fleet) add(tb testing.TB, zone, service string, handler http.HandlerFunc) *testNode {
	flags, ip := flag.NewFlagSet("node", flag.ContinueOnError), nextIP()
	s := settings.Register(flags)
	is.New(tb).NoErr(s.Parse(flags, append([]string{
		"-node.name", fmt.Sprintf("node_%d", len(f.nodes)+1), "-node.zone", zone, "-node.zones", zone, "-node.service", service,
		"-caller.address", net.JoinHostPort(ip, callerPort), "-peer.address", net.JoinHostPort(ip, peerPort),
		"-backend.address", net.JoinHostPort(ip, backendPort), "-ready.address", net.JoinHostPort(ip, readyPort),
		"-platform.url", "http://127.0.0.1:1", "-platform.source", settings.SourceRoutes,
	}, f.flags...)))
	is.New(tb).NoErr(s.Check())
	n := &testNode{settings: s, log: &syncBuffer{}, service: service}
	n.started.Store(1)
	n.server = httptest.NewServer(withSignature(handler))
	f.start(tb, n)
	n.announceServer(false)
	f.nodes = append(f.nodes, n)
	return n
}

// restart stops the node and starts it again beside its backend server, which keeps running and announces itself.
func (f *fleet) restart(tb testing.TB, n *testNode) {
	n.stop()
	<-n.ended
	f.start(tb, n)
	n.announceServer(false)
}

// start starts the process of the node and returns when it takes announcements.
func (f *fleet) start(tb testing.TB, n *testNode) {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop, n.ended = cancel, make(chan struct{})
	s, ended := n.settings, n.ended
	registered, readyRegistered := make(chan struct{}), make(chan struct{})
	adapter := routed.Adapter{
		Store:     f.store.ForNode(s.Node.Name),
		RoutesKey: routesKey,

		RoutesBound: routesBound,
		StopGrace:   f.stopGrace,
		DecodeRoutes: func(value []byte) (*routes.Table, error) {
			var c routes.Configuration
			if err := json.Unmarshal(value, &c); err != nil {
				return nil, err
			}
			return routes.NewTable(c)
		},
		RegisterAnnouncements: func(_ *httprouter.Router, a routed.AnnouncementHandlers) {
			n.announce, n.departed = a.Announced, a.Departed
			close(registered)
		},
		RegisterReady: func(_ *httprouter.Router, ready func() bool) {
			n.ready = ready
			close(readyRegistered)
		},
		CallerHeaders:  callerHeaders,
		BackendHeaders: backendHeaders,
	}
	log := events.NewLog(n.log, zerolog.DebugLevel, s.Node.Name)
	f.group.Go(func() {
		defer close(ended)
		_ = routed.Run(ctx, routed.Config{Settings: s, Log: log, Adapter: adapter})
	})
	for _, done := range []chan struct{}{registered, readyRegistered} {
		select {
		case <-done:
		case <-ended:
			tb.Fatal("the node ended: " + n.log.String())
		}
	}
}

// withSignature adds the headers by which a node recognizes the response of its backend server.
func withSignature(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signature", "s")
		w.Header().Set("Request-Name", r.Header.Get("Request-Name"))
		handler(w, r)
	}
}

// restartServer announces a new start of the backend server under the same name.
func (n *testNode) restartServer() {
	n.started.Store(time.Now().UnixMilli())
	n.announceServer(false)
}

func (n *testNode) announceServer(leaving bool) {
	n.announce(n.nextAnnouncement(leaving))
}

// announceSlots announces the backend server with the number of slots.
func (n *testNode) announceSlots(slots int) {
	a := n.nextAnnouncement(false)
	a.Slots = slots
	n.announce(a)
}

func (n *testNode) nextAnnouncement(leaving bool) backend.Announcement {
	return backend.Announcement{
		Service: n.service, Address: strings.TrimPrefix(n.server.URL, "http://"), Slots: 64, Connections: 256,
		Instance: "i_" + n.settings.Node.Name, Started: n.started.Load(), Sequence: n.sequence.Add(1), Leaving: leaving,
	}
}

// waitReady waits until every node has routes and is ready, and then 500 ms more, in which the nodes learn of each
// other.
func (f *fleet) waitReady(tb testing.TB) {
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range f.nodes {
		for !strings.Contains(n.log.String(), "routes_in_force") || !n.ready() {
			if time.Now().After(deadline) {
				tb.Fatal("the nodes did not become ready: " + n.log.String())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	time.Sleep(500 * time.Millisecond)
}

// callResult is the response that a caller got. The status is 0 if there was none.
type callResult struct {
	status int
	body   string
	header http.Header
}

// call sends one request to the node as a caller.
func (n *testNode) call(tb testing.TB, client *http.Client, method, host, path string) callResult {
	return n.callWithin(tb, client, method, host, path, "5000")
}

// callWithin sends one request to the node as a caller that waits for the given number of milliseconds.
func (n *testNode) callWithin(tb testing.TB, client *http.Client, method, host, path, left string) callResult {
	r, err := http.NewRequestWithContext(tb.Context(), method, "http://"+n.settings.Caller.Address+path, http.NoBody)
	is.New(tb).NoErr(err)
	r.Host = host
	r.Header.Set("Request-Name", fmt.Sprintf("r%d", requestNumber.Add(1)))
	r.Header.Set("Time-Left", left)
	response, err := client.Do(r)
	if err != nil {
		return callResult{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{}
	}
	return callResult{status: response.StatusCode, body: string(body), header: response.Header}
}

// requestNumber makes the request IDs of all tests unique.
var requestNumber atomic.Uint64

// twoServices returns a configuration with a route to each of two services.
func twoServices(version uint64) routes.Configuration {
	return routes.Configuration{
		Version: version,
		Routes: []routes.Route{
			{Name: "sheets", Host: "sheets.example", Prefix: "/", Idempotent: true, Timeout: 2 * time.Second, TargetLatency: time.Second, Rank: 1, MaxAttempts: 2, Clusters: []routes.Cluster{{Service: "crew", Weight: 1}}},
			{Name: "deposits", Host: "deposits.example", Prefix: "/", Timeout: 2 * time.Second, TargetLatency: time.Second, Rank: 2, MaxAttempts: 2, Clusters: []routes.Cluster{{Service: "bookings", Weight: 1}}},
		},
		Services: []routes.Service{{Name: "crew", MaxConnections: 256}, {Name: "bookings", MaxConnections: 256}},
	}
}

// withRoute returns the configuration with a further route, on its own host, to the service crew.
func withRoute(version uint64, host string) routes.Configuration {
	c := twoServices(version)
	added := c.Routes[0]
	added.Name, added.Host = "added", host
	c.Routes = append(c.Routes, added)
	return c
}
