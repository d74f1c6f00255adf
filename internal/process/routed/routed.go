// Package routed assembles a node that is configured by the routes in the platform's store, and runs it until the
// process is asked to stop. Unlike a node configured by documents (package node), it has no leader, remembers no
// idempotency keys and accepts no edits. It reads routes and members from the store, and each request has its own ID. A
// request that may run at most once is sent again only if it has certainly not run.
//
// # Usage
//
//	err := routed.Run(ctx, routed.Config{Settings: settings, Log: log, Adapter: adapter})
//
// When the context ends the node drains: it forwards the requests that callers still send, stops sending requests to
// its backend server, and returns when nothing is in flight. The backend server keeps running.
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
	"github.com/comfreyhoist/comfreyhoist/internal/control/crashrecord"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/members"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routefeed"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/calllimit"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/process/local"
	"github.com/comfreyhoist/comfreyhoist/internal/process/parts"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/flow"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// Adapter connects a node to the users' platform.
type Adapter struct {
	Store store.Store
	// RoutesKey is the key of the routes in the store. DecodeRoutes decodes its value.
	RoutesKey    string
	DecodeRoutes func(value []byte) (*routes.Table, error)
	// RoutesBound is the time after a change of the routes in the store by which every node must use it.
	RoutesBound time.Duration
	// StopGrace is the time from the end of Run's context until the process is killed.
	StopGrace time.Duration
	// RegisterAnnouncements adds the HTTP routes by which the local backend server announces itself.
	RegisterAnnouncements func(router *httprouter.Router, l AnnouncementHandlers)
	// RegisterReady adds the HTTP route that reports whether the node is ready for new requests.
	RegisterReady  func(router *httprouter.Router, ready func() bool)
	CallerHeaders  caller.RoutedHeaders
	BackendHeaders backend.Headers
	// CommonTerms are strings that occur in many messages between nodes. The compressor encodes them in few bytes.
	CommonTerms []string
}

// AnnouncementHandlers holds the functions that handle announcements of the local backend server.
type AnnouncementHandlers struct {
	// Announced handles an announcement and returns when it is in effect.
	Announced func(backend.Announcement)
	// Departed is called with the instance name of a backend server that leaves.
	Departed func(instance string)
	// MaxConnections returns the number of connections that a backend server of the service accepts.
	MaxConnections func(service string) int
	// Rejected is called for each announcement that is malformed or incomplete.
	Rejected func(instance, fault string)
}

// Config configures a node.
type Config struct {
	Settings *settings.Settings
	Log      *events.Log
	Adapter  Adapter
}

// Node is a node configured by routes. It runs beside one backend server, admits, queues, retries and routes requests,
// and shares state with its peers.
type Node struct {
	config          Config
	loop            *board.Loop
	gate            *backend.Gate
	client          *backend.Client
	pool            *peer.Pool
	peerClient      *peer.Client
	compressor      *peer.Compressor
	localServer     *local.Server
	receiver        *flow.Receiver
	fencedRunner    *flow.FencedRunner
	sender          *flow.Sender
	runningRequests *call.RunningRequests
	reachability    *flow.ReachabilityMonitor
	members         *members.Controller
	routes          *routefeed.Controller
	// quarantine refuses requests that crash backend servers.
	quarantine *flow.Quarantine
	// crashRecords keep what the quarantine knows beyond the end of the process.
	crashRecords *crashrecord.Controller
	limiter      *events.Limiter
	// requestLog logs the decisions about individual requests.
	requestLog   *events.Limiter
	requestStats *requestStats
	traffic      trafficState
	listeners    listeners
	// callerServer serves the requests of callers.
	callerServer *caller.Server
}

// The rate limit of log lines about individual requests, for each event number: on average one line per interval, and
// bursts of up to requestLogBurst lines.
const (
	requestLogInterval = 25 * time.Millisecond
	requestLogBurst    = 100
)

// maxRefusals is the number of nodes that may refuse a request before the sender gives up.
const maxRefusals = 2

// maxFleetRetries is the number of retries that all nodes together may have in flight for one service.
const maxFleetRetries = 36

// retryBudget is the retry budget of one node for one service.
var retryBudget = retry.BudgetConfig{EarnRatio: 0.05, Max: 3}

// rateBeforeFirstResponse is the rate, in requests per second, at which a backend server gets requests from its start, or
// from the start of this process, until it has responded: it may state a rate limit.
const rateBeforeFirstResponse = 4

// departureStoreTimeout is how long the acknowledgement that the backend server leaves waits for the store.
const departureStoreTimeout = 500 * time.Millisecond

// requeueBudget limits how many requests that the backend server shed are requeued, as a ratio of all requests for it.
var requeueBudget = retry.BudgetConfig{EarnRatio: 0.08, Max: 4}

// New returns a node that is not started.
func New(config Config) (*Node, error) {
	s := config.Settings
	compressor, err := peer.NewCompressor(config.Adapter.CommonTerms...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := &Node{
		config:          config,
		compressor:      compressor,
		runningRequests: call.NewRunningRequests(),
		limiter:         events.NewLimiter(config.Log, parts.LogLimitInterval),
		requestLog:      events.NewBurstLimiter(config.Log, requestLogInterval, requestLogBurst),
		requestStats:    newRequestStats(),
	}
	n.traffic.replyTime = n.partOf(replyRatio)
	incarnation := uint64(time.Now().UnixNano())
	n.loop = board.NewLoop(board.Board{Self: board.Self{
		Node:          s.Node.Name,
		Zone:          s.Node.Zone,
		Region:        s.Node.Region,
		PeerAddress:   s.Peer.AdvertisedAddress(),
		CallerAddress: s.Caller.Address,
		Incarnation:   incarnation,
	}})
	n.routes = routefeed.NewController(routefeed.Config{
		Board:  n.loop,
		Store:  config.Adapter.Store,
		Key:    config.Adapter.RoutesKey,
		Decode: config.Adapter.DecodeRoutes,
		Bound:  config.Adapter.RoutesBound,
		Log:    config.Log,
	})
	n.buildReceiver(s, incarnation)
	n.buildSender(s)
	n.members = members.NewController(members.Config{
		Board: n.loop, Store: config.Adapter.Store, Log: n.limiter,
		BackendLeft: n.localServer.RestoreDeparture,
	})
	return n, nil
}

func (n *Node) buildReceiver(s *settings.Settings, incarnation uint64) {
	liveness := backend.NewLiveness()
	gate := parts.GateConfig(s)
	gate.Limit.Fixed = true
	gate.RateBeforeFirstResponse = rateBeforeFirstResponse
	n.gate = backend.NewGate(gate)
	pool := parts.PoolConfig(s)
	pool.Compressor = n.compressor
	pool.MaxMessage = maxMessage(s)
	n.pool = peer.NewPool(pool)
	n.peerClient = peer.NewClient(peer.ClientConfig{Pool: n.pool, Node: s.Node.Name, Versions: n.routes})
	client := backend.NewClient(backend.ClientConfig{
		MaxBody:  s.Caller.MaxBody,
		Liveness: liveness,
		Headers:  n.config.Adapter.BackendHeaders,
		Stated:   func(s backend.Statement) { n.localServer.HandleStatement(s) },
	}, n.runningRequests)
	n.client = client
	n.localServer = local.New(local.Config{
		Board: n.loop, Gate: n.gate, Client: client, Liveness: liveness, Log: n.config.Log, Limiter: n.limiter,
		StoreTimeout: departureStoreTimeout,
	})
	n.quarantine = flow.NewQuarantine(flow.QuarantineConfig{
		Table: parts.QuarantineConfig(s),
		Board: n.loop,
		Peers: n.peerClient,
		Log:   n.config.Log,

		AcrossServices: true,
		Crashed:        func(f quarantine.Fingerprint) { n.crashRecords.Update(f) },
	})
	n.crashRecords = crashrecord.NewController(crashrecord.Config{
		Store: n.config.Adapter.Store, Table: n.quarantine, Lifetime: parts.QuarantineConfig(s).Lifetime, Log: n.limiter,
	})
	n.receiver = flow.NewReceiver(flow.ReceiverConfig{
		Board:          n.loop,
		Gate:           n.gate,
		Backend:        client,
		Quarantine:     n.quarantine,
		CallTreeLimits: flow.NewCallTreeLimits(calllimit.DefaultConfig),
		RequeueShed:    true,
		RequeueBudget:  &requeueBudget,
		Limit:          n.traffic.limitOf,
		Events:         n.limiter,
		Requests:       n.requestLog,
	})
	n.fencedRunner = flow.NewFencedRunner(n.receiver, incarnation)
}

// throttleConfig returns the configuration of the throttle for root requests at the entry node. LowRateRequests is 0
// because the nodes beside the backend servers already limit root requests by the queueing delay of their calls, and
// see more of these requests than one entry node does.
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
		Limit:        n.traffic.limitOf,
		Reachability: n.reachability,

		MaxFleetRetries: maxFleetRetries,

		Events:   n.limiter,
		Requests: n.requestLog,
	})
}

const (
	// megabyte is the number of bytes in the unit of the memory setting.
	megabyte = 1 << 20
	// heapPercent is the percentage of the process's memory that the runtime may use before it collects garbage more
	// often. The rest is for the program itself, and for requests that arrive during a collection.
	heapPercent = 60
)

// setMemoryLimit makes the runtime keep the process below the given memory. 0 sets no limit.
func setMemoryLimit(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(megabytes * megabyte * heapPercent / 100)
	}
}

// Run serves until the context ends. It returns after the node has drained.
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
	group.Go(func() { n.routes.Run(ctx, n.peerClient) })
	group.Go(func() { n.gate.Run(ctx, parts.GatePollInterval) })
	group.Go(func() { n.localServer.Watch(ctx) })
	group.Go(func() { n.quarantine.Run(ctx) })
	group.Go(func() { n.crashRecords.Run(ctx) })
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
		Board:           n.loop,
		Sender:          n.sender,
		RunningRequests: n.runningRequests,
		Headers:         n.config.Adapter.CallerHeaders,
		Service:         n.config.Settings.Node.Service,
		MaxBody:         n.config.Settings.Caller.MaxBody,
		Drain:           n.traffic.drain,
		TakenLate:       n.logTakenLate,
		Answered:        n.recordReply,
		Rejected:        n.logRejected,
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

// maxConnections returns the number of connections that a backend server of the service accepts, or 0 if there are no
// routes yet.
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

// listeners holds the listeners of a node.
type listeners struct {
	caller  net.Listener
	peer    net.Listener
	backend net.Listener
	ready   net.Listener
	// metrics is nil if the settings have no address for it.
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
