// Package routed puts together a node that goes by the routes in the platform's store, and runs it until the process is
// asked to stop. Unlike a node that goes by documents it has no leader, remembers no keys and takes no edits: what it
// knows of routes and members it reads from the store, each request has a name of its own, and a request that may run
// once at most is sent again only where it has certainly not run.
//
// # Usage
//
//	err := routed.Run(ctx, routed.Config{Settings: settings, Log: log, Adapter: adapter})
//
// When the context ends the node drains: its backend server gets no new work, what callers still send here is passed on,
// and the process ends when nothing is in flight.
package routed

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/members"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/trees"
	"github.com/comfreyhoist/comfreyhoist/internal/process/local"
	"github.com/comfreyhoist/comfreyhoist/internal/process/parts"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/flow"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// Adapter is what a node needs of the users' platform.
type Adapter struct {
	Store store.Store
	// RoutesKey is where the store holds the routes, and DecodeRoutes reads them.
	RoutesKey    string
	DecodeRoutes func(value []byte) (*routes.Table, error)
	// RegisterAnnouncements adds the routes by which the local backend server announces itself.
	RegisterAnnouncements func(router *httprouter.Router, l AnnouncementHandlers)
	// RegisterReady adds the question whether the node takes new work.
	RegisterReady  func(router *httprouter.Router, ready func() bool)
	CallerHeaders  caller.RoutedHeaders
	BackendHeaders backend.Headers
	// CommonTerms stand in many messages between nodes, which they make smaller.
	CommonTerms []string
}

// AnnouncementHandlers takes what the local backend server says of itself.
type AnnouncementHandlers struct {
	// Announced returns when the node goes by the announcement.
	Announced func(backend.Announcement)
	// Departed is told the name of a backend server that leaves.
	Departed func(instance string)
	// MaxConnections returns how many connections a backend server of the service takes.
	MaxConnections func(service string) int
	// Rejected is told of each announcement that names nobody.
	Rejected func(instance, fault string)
}

// Config sets a node up.
type Config struct {
	Settings *settings.Settings
	Log      *events.Log
	Adapter  Adapter
}

// Node is one node.
type Node struct {
	config       Config
	loop         *board.Loop
	gate         *backend.Gate
	pool         *peer.Pool
	peerClient   *peer.Client
	compressor   *peer.Compressor
	localServer  *local.Server
	receiver     *flow.Receiver
	fencedRunner *flow.FencedRunner
	sender       *flow.Sender
	chains       *call.Chains
	reachability *flow.ReachabilityMonitor
	members      *members.Controller
	routes       *routesFollower
	// quarantine keeps away requests that crash backend servers.
	quarantine *flow.Quarantine
	limiter    *events.Limiter
	// requestLog logs decisions about single requests.
	requestLog   *events.Limiter
	requestStats *requestStats
	traffic      trafficState
	listeners    listeners
	// callerServer serves callers.
	callerServer *caller.Server
}

// The lines about single requests that are written of each number: one in the time on average, and so many at once.
const (
	requestLogInterval = 25 * time.Millisecond
	requestLogBurst    = 100
)

// maxRefusals is how many nodes may refuse a request before it is given up.
const maxRefusals = 2

// maxFleetRetries is how many retries for one service all nodes together may make at once.
const maxFleetRetries = 36

// retryBudget is that of one node for one service.
var retryBudget = retry.BudgetConfig{EarnRatio: 0.05, Max: 3}

// requeueBudget bounds the further turns of what a backend server shed, as a part of the requests for it.
var requeueBudget = retry.BudgetConfig{EarnRatio: 0.08, Max: 4}

// New builds a node without starting it.
func New(config Config) (*Node, error) {
	s := config.Settings
	compressor, err := peer.NewCompressor(config.Adapter.CommonTerms...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := &Node{
		config:       config,
		compressor:   compressor,
		chains:       call.NewChains(),
		limiter:      events.NewLimiter(config.Log, parts.LogLimitInterval),
		requestLog:   events.NewBurstLimiter(config.Log, requestLogInterval, requestLogBurst),
		requestStats: newRequestStats(),
	}
	incarnation := uint64(time.Now().UnixNano())
	n.loop = board.NewLoop(board.Board{Self: board.Self{
		Node:          s.Node.Name,
		Zone:          s.Node.Zone,
		Region:        s.Node.Region,
		PeerAddress:   s.Peer.AdvertisedAddress(),
		CallerAddress: s.Caller.Address,
		Incarnation:   incarnation,
	}})
	n.buildReceiver(s, incarnation)
	n.buildSender(s)
	n.members = members.NewController(members.Config{Board: n.loop, Store: config.Adapter.Store, Log: n.limiter})
	n.routes = newRoutesFollower(n.loop, config)
	return n, nil
}

func (n *Node) buildReceiver(s *settings.Settings, incarnation uint64) {
	liveness := backend.NewLiveness()
	gate := parts.GateConfig(s)
	gate.Limit.Fixed = true
	n.gate = backend.NewGate(gate)
	pool := parts.PoolConfig(s)
	pool.Compressor = n.compressor
	n.pool = peer.NewPool(pool)
	n.peerClient = peer.NewClient(n.pool, s.Node.Name)
	client := backend.NewClient(backend.ClientConfig{
		MaxBody:  s.Caller.MaxBody,
		Liveness: liveness,
		Headers:  n.config.Adapter.BackendHeaders,
	}, n.chains)
	n.localServer = local.New(local.Config{Board: n.loop, Gate: n.gate, Client: client, Liveness: liveness, Log: n.config.Log})
	n.quarantine = flow.NewQuarantine(flow.QuarantineConfig{
		Table: parts.QuarantineConfig(s),
		Board: n.loop,
		Peers: n.peerClient,
		Log:   n.config.Log,
	})
	n.receiver = flow.NewReceiver(flow.ReceiverConfig{
		Board:          n.loop,
		Gate:           n.gate,
		Backend:        client,
		Quarantine:     n.quarantine,
		CallTreeLimits: flow.NewCallTreeLimits(trees.DefaultConfig),
		RequeueShed:    true,
		RequeueBudget:  &requeueBudget,
		Events:         n.limiter,
		Requests:       n.requestLog,
	})
	n.fencedRunner = flow.NewFencedRunner(n.receiver, incarnation)
}

// throttleConfig returns how root requests are refused at the entry. The nodes beside the backend servers bound them by what
// their calls wait, and see more of them than one entry does.
func throttleConfig() throttle.Config {
	config := throttle.DefaultConfig
	config.LowRateRequests = 0
	return config
}

func (n *Node) buildSender(s *settings.Settings) {
	n.reachability = flow.NewReachabilityMonitor(flow.ReachabilityMonitorConfig{Board: n.loop, Peers: n.peerClient, Log: n.limiter})
	n.sender = flow.NewSender(flow.SenderConfig{
		Board:        n.loop,
		Peers:        n.peerClient,
		Receiver:     n.fencedRunner,
		Budgets:      flow.NewBudgets(retryBudget),
		Routing:      routing.DefaultConfig(s.Node.Name, s.Node.Zone),
		Throttle:     throttleConfig(),
		MaxRefusals:  maxRefusals,
		Reachability: n.reachability,

		MaxFleetRetries: maxFleetRetries,

		Events:   n.limiter,
		Requests: n.requestLog,
	})
}

const (
	// megabyte is in bytes.
	megabyte = 1 << 20
	// heapPercent is the part of the process's memory that the runtime may use before it collects more often. The rest is for
	// the program itself, and for what arrives meanwhile.
	heapPercent = 60
)

// setMemoryLimit keeps the process below the memory that it may use.
func setMemoryLimit(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(megabytes * megabyte * heapPercent / 100)
	}
}

// Run listens and works until the context ends and the node has drained.
func Run(ctx context.Context, config Config) error {
	n, err := New(config)
	if err == nil {
		err = n.listen()
	}
	if err != nil {
		config.Log.Emit(events.NodeFailed, events.Fields{"error": err.Error()})
		return trace.Wrap(err)
	}
	setMemoryLimit(config.Settings.Process.Memory)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group conc.WaitGroup
	n.start(serving, &group)
	config.Log.Emit(events.NodeStarted, events.Fields{"service": config.Settings.Node.Service, "incarnation": n.loop.Snapshot().Self.Incarnation})
	<-ctx.Done()
	n.drain(serving)
	stop()
	n.listeners.close()
	n.pool.Close()
	group.Wait()
	config.Log.Emit(events.NodeStopped, nil)
	return nil
}

func (n *Node) start(ctx context.Context, group *conc.WaitGroup) {
	group.Go(func() { n.loop.Run(ctx) })
	group.Go(func() { n.members.Run(ctx) })
	group.Go(func() { n.routes.run(ctx) })
	group.Go(func() { n.gate.Run(ctx, parts.GatePollInterval) })
	group.Go(func() { n.localServer.Watch(ctx) })
	group.Go(func() { n.quarantine.Run(ctx) })
	group.Go(func() { n.reachability.Run(ctx) })
	group.Go(func() { n.servePeers(ctx) })
	n.callerServer = n.newCallerServer()
	group.Go(func() { n.serveCallers(ctx) })
	group.Go(func() { serveHTTP(ctx, n.newHTTPServer(n.backendRouter(ctx)), n.listeners.backend) })
	group.Go(func() { serveHTTP(ctx, n.newHTTPServer(n.readyRouter()), n.listeners.ready) })
	if n.listeners.metrics != nil {
		group.Go(func() { serveHTTP(ctx, n.newHTTPServer(n.stateRouter()), n.listeners.metrics) })
	}
}

func (n *Node) callerHandler() http.Handler {
	return caller.NewRoutedHandler(caller.RoutedHandlerConfig{
		Board:    n.loop,
		Sender:   n.sender,
		Chains:   n.chains,
		Headers:  n.config.Adapter.CallerHeaders,
		Service:  n.config.Settings.Node.Service,
		MaxBody:  n.config.Settings.Caller.MaxBody,
		Answered: n.recordReply,
		Rejected: n.logRejected,
	})
}

func (n *Node) backendRouter(ctx context.Context) *httprouter.Router {
	router := httprouter.New()
	n.config.Adapter.RegisterAnnouncements(router, AnnouncementHandlers{
		Announced:      func(a backend.Announcement) { n.localServer.HandleAnnouncement(ctx, a) },
		Departed:       func(instance string) { n.localServer.HandleDeparture(ctx, instance) },
		MaxConnections: n.maxConnections,
		Rejected:       n.logRejectedAnnouncement,
	})
	return router
}

// maxConnections returns how many connections a backend server of the service takes.
func (n *Node) maxConnections(service string) int {
	table := n.loop.Snapshot().Routes
	if table == nil {
		return 0
	}
	return table.MaxConnections(service)
}

func (n *Node) readyRouter() *httprouter.Router {
	router := httprouter.New()
	n.config.Adapter.RegisterReady(router, func() bool {
		b := n.loop.Snapshot()
		return b.Routes != nil && len(b.Members.ByNode) > 0 && !b.Self.Draining
	})
	return router
}

// listeners are the sockets of a node.
type listeners struct {
	caller  net.Listener
	peer    net.Listener
	backend net.Listener
	ready   net.Listener
	// metrics is nil where the settings name no address for it.
	metrics net.Listener
}

func (l *listeners) close() {
	parts.Close(l.caller, l.peer, l.backend, l.ready, l.metrics)
}

func (n *Node) listen() error {
	s := n.config.Settings
	return parts.Listen(
		parts.Socket{Listener: &n.listeners.caller, Address: s.Caller.Address},
		parts.Socket{Listener: &n.listeners.peer, Address: s.Peer.Address},
		parts.Socket{Listener: &n.listeners.backend, Address: s.Backend.Address},
		parts.Socket{Listener: &n.listeners.ready, Address: s.Ready.Address},
		parts.Socket{Listener: &n.listeners.metrics, Address: s.Metrics.Address},
	)
}
