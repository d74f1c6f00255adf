// Package node assembles the components of a node configured by documents and runs them until the process is asked to
// stop.
//
// # Usage
//
//	err := node.Run(ctx, node.Config{Settings: settings, Log: log})
//
// When the context ends the node drains: its backend server gets no new requests, its idempotency keys are handed over
// to another node, requests that callers still send are forwarded to other nodes, and Run returns when nothing is in
// flight.
package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/keyowners"
	"github.com/comfreyhoist/comfreyhoist/internal/control/metrics"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/process/local"
	"github.com/comfreyhoist/comfreyhoist/internal/process/parts"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/flow"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/zonepb"
)

// Config configures a node.
type Config struct {
	Settings *settings.Settings
	Log      *events.Log
}

// Node is a node configured by documents. It runs beside one backend server, admits, queues, retries and routes
// requests, and shares state with its peers.
type Node struct {
	config Config
	loop   *board.Loop
	gate   *backend.Gate
	client *backend.Client
	pool   *peer.Pool
	// controlPool is separate from pool, so that a flood of requests takes no connections from the control plane.
	controlPool      *peer.Pool
	receiver         *flow.Receiver
	sender           *flow.Sender
	localServer      *local.Server
	quarantine       *flow.Quarantine
	controller       *zone.Controller
	platform         *platform.Client
	runningRequests  *call.RunningRequests
	keyOwner         *flow.KeyOwner
	ownerController  *keyowners.Controller
	keyedSender      *flow.KeyedSender
	peerClient       *peer.Client
	traffic          trafficState
	listeners        listeners
	limiter          *events.Limiter
	beginDrain       context.CancelFunc
	stopCallerServer context.CancelFunc
}

// New returns a node that is not started.
func New(config Config) *Node {
	s := config.Settings
	self := outcome.Node{Name: s.Node.Name, Incarnation: uint64(time.Now().UnixNano())}
	n := &Node{config: config, runningRequests: call.NewRunningRequests(), limiter: events.NewLimiter(config.Log, parts.LogLimitInterval)}
	n.loop = board.NewLoop(board.Board{Self: board.Self{
		Node:          s.Node.Name,
		Zone:          s.Node.Zone,
		Region:        s.Node.Region,
		PeerAddress:   s.Peer.AdvertisedAddress(),
		CallerAddress: s.Caller.Address,
		Incarnation:   self.Incarnation,
	}})
	n.buildReceiver(s)
	n.buildSender(s, self)
	n.buildControl(s, self)
	return n
}

// buildReceiver creates the components that run requests on the local backend server.
func (n *Node) buildReceiver(s *settings.Settings) {
	n.gate = backend.NewGate(parts.GateConfig(s))
	liveness := backend.NewLiveness()
	n.client = backend.NewClient(backend.ClientConfig{
		MaxBody:  s.Caller.MaxBody,
		Liveness: liveness,
		Stated:   func(s backend.Statement) { n.localServer.HandleStatement(s) },
	}, n.runningRequests)
	n.localServer = local.New(local.Config{
		Board: n.loop, Gate: n.gate, Client: n.client, Liveness: liveness, Log: n.config.Log, Limiter: n.limiter,
	})
	n.pool = peer.NewPool(parts.PoolConfig(s))
	n.controlPool = peer.NewPool(parts.PoolConfig(s))
	n.peerClient = peer.NewClient(peer.ClientConfig{Pool: n.pool, Node: s.Node.Name})
	n.quarantine = flow.NewQuarantine(flow.QuarantineConfig{
		Table: parts.QuarantineConfig(s),
		Board: n.loop,
		Peers: n.peerClient,
		Log:   n.config.Log,
	})
	n.receiver = flow.NewReceiver(flow.ReceiverConfig{
		Board:       n.loop,
		Gate:        n.gate,
		Backend:     n.client,
		Quarantine:  n.quarantine,
		RequeueShed: true,
		Events:      n.limiter,
		Requests:    n.limiter,
	})
}

// buildSender creates the components that own idempotency keys and send requests to instances.
func (n *Node) buildSender(s *settings.Settings, self outcome.Node) {
	budgets := flow.NewBudgets(retryBudget)
	n.keyOwner = flow.NewKeyOwner(flow.KeyOwnerConfig{
		Board:     n.loop,
		Self:      self,
		Zones:     s.Node.ZoneList(),
		Local:     n.receiver,
		Delegate:  func(ctx context.Context, r *call.Request) call.Reply { return n.sender.Delegate(ctx, r) },
		ResolveAt: n.resolveAt,
		Budgets:   budgets,
		Load:      n.gate.Load,
		Table:     keyTableConfig(s),
	})
	n.sender = flow.NewSender(flow.SenderConfig{
		Board:    n.loop,
		Peers:    n.peerClient,
		Receiver: n.keyOwner,
		Budgets:  budgets,
		Routing:  routing.DefaultConfig(s.Node.Name, s.Node.Zone),
		Throttle: throttle.DefaultConfig,
		Events:   n.limiter,
		Requests: n.limiter,
	})
	n.keyedSender = flow.NewKeyedSender(flow.KeyedSenderConfig{
		Board:  n.loop,
		Sender: n.sender,
		Zones:  s.Node.ZoneList(),
		Window: s.Keys.Window,
	})
}

// buildControl creates the components that share state with the peers and the platform.
func (n *Node) buildControl(s *settings.Settings, self outcome.Node) {
	n.platform = platform.NewClient(platformConfig(s))
	n.ownerController = keyowners.NewController(keyowners.Config{
		Board:    n.loop,
		Platform: n.platform,
		Log:      n.config.Log,
		Self:     self,
		Peers:    n.peerClient,
		Zones:    s.Node.ZoneList(),
		Timing:   ownerTiming(s),
	})
	n.controller = zone.NewController(zone.Config{
		Board:    n.loop,
		Platform: n.platform,
		Peers: zone.NewClient(zone.ClientConfig{
			Pool:             n.controlPool,
			Node:             s.Node.Name,
			Zone:             s.Node.Zone,
			HeartbeatTimeout: heartbeatTimeout,
			Timeout:          controlTimeout,
		}),
		Seeds:       s.Peer.SeedList(),
		Log:         n.config.Log,
		Timing:      zone.DefaultTiming,
		Incarnation: self.Incarnation,
		Sections:    map[string]zone.Section{keyowners.Prefix: n.ownerController.Section()},
	})
}

// Run serves until the context ends, an operator drains the node or its backend server leaves. It returns after the
// node has drained.
func Run(ctx context.Context, config Config) error {
	n := New(config)
	if err := n.listen(); err != nil {
		config.Log.Emit(events.NodeFailed, events.Fields{"error": err.Error()})
		return trace.Wrap(err)
	}
	ctx, n.beginDrain = context.WithCancel(ctx)
	defer n.beginDrain()
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group conc.WaitGroup
	n.start(serving, &group)
	metrics.Publish(func() metrics.Values { return n.metricValues(serving) })
	config.Log.Emit(events.NodeStarted, events.Fields{"settings": config.Settings.Node.Name})
	n.waitForLeave(ctx)
	n.drain(serving)
	stop()
	n.listeners.close()
	n.pool.Close()
	n.controlPool.Close()
	group.Wait()
	config.Log.Emit(events.NodeStopped, nil)
	return nil
}

// listeners holds the listeners of a node.
type listeners struct {
	caller  net.Listener
	peer    net.Listener
	backend net.Listener
	// operator is nil if the settings have no address for it.
	operator net.Listener
}

func (l *listeners) close() {
	parts.Close(l.caller, l.peer, l.backend, l.operator)
}

func (n *Node) listen() error {
	s := n.config.Settings
	return parts.Listen(
		parts.Socket{Listener: &n.listeners.caller, Address: s.Caller.Address},
		parts.Socket{Listener: &n.listeners.peer, Address: s.Peer.Address},
		parts.Socket{Listener: &n.listeners.backend, Address: s.Backend.Address},
		parts.Socket{Listener: &n.listeners.operator, Address: s.Operator.Address},
	)
}

func (n *Node) start(ctx context.Context, group *conc.WaitGroup) {
	group.Go(func() { n.loop.Run(ctx) })
	group.Go(func() { n.controller.Run(ctx) })
	group.Go(func() { n.ownerController.Run(ctx, n.controller) })
	group.Go(func() { n.keyOwner.Run(ctx) })
	group.Go(func() { n.gate.Run(ctx, parts.GatePollInterval) })
	group.Go(func() { n.localServer.Watch(ctx) })
	group.Go(func() { n.quarantine.Run(ctx) })
	group.Go(func() { n.servePeers(ctx) })
	callers, stopCalls := context.WithCancel(ctx)
	n.stopCallerServer = stopCalls
	group.Go(func() {
		n.waitForCompleteView(callers)
		n.serveHTTP(callers, ctx, n.listeners.caller, n.traffic.countRequests(n.callerRouter()))
	})
	group.Go(func() { n.serveHTTP(ctx, ctx, n.listeners.backend, n.backendRouter(ctx)) })
	if n.listeners.operator != nil {
		group.Go(func() { n.serveHTTP(ctx, ctx, n.listeners.operator, n.operatorRouter()) })
	}
}

func (n *Node) callerRouter() *httprouter.Router {
	router := httprouter.New()
	caller.Register(router, caller.Config{
		Board:           n.loop,
		Sender:          n.keyedSender,
		RunningRequests: n.runningRequests,
		MaxBody:         n.config.Settings.Caller.MaxBody,

		Rejected: n.logRejected,
	})
	return router
}

func (n *Node) backendRouter(ctx context.Context) *httprouter.Router {
	router := httprouter.New()
	backend.RegisterAnnouncements(router, func(a backend.Announcement) { n.localServer.HandleAnnouncement(ctx, a) })
	n.registerHealth(router)
	return router
}

func (n *Node) servePeers(ctx context.Context) {
	mux := drpcmux.New()
	err := peerpb.DRPCRegisterPeer(mux, peer.NewServer(peer.ServerConfig{Receiver: n.keyOwner, Outcomes: n.keyOwner, Promiser: n.ownerController}))
	if err == nil {
		err = peerpb.DRPCRegisterQuarantine(mux, peer.NewQuarantineServer(n.quarantine))
	}
	if err == nil {
		err = zonepb.DRPCRegisterZone(mux, zone.NewServer(n.controller))
	}
	if err != nil {
		n.config.Log.Emit(events.NodeFailed, events.Fields{"error": err.Error()})
		return
	}
	handler := peer.NewHandler(parts.CountRPCs(&n.traffic.inFlight, mux), nil)
	server := drpcserver.NewWithOptions(handler, parts.PeerServerOptions(n.config.Settings, 0, n.limiter))
	_ = server.Serve(ctx, n.listeners.peer)
}

// serveHTTP serves until ctx ends. It then finishes the requests in flight and returns after the serving context ends.
func (n *Node) serveHTTP(ctx, serving context.Context, l net.Listener, router http.Handler) {
	server := &http.Server{
		Handler:           router,
		ReadHeaderTimeout: n.config.Settings.Caller.HeaderTimeout,
		ReadTimeout:       n.config.Settings.Caller.BodyTimeout,
		ErrorLog:          parts.NewHTTPLogger(n.limiter),
	}
	caller.ReportIncompleteRequests(server, n.logEarlyClose)
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		shutdown(serving, server, l)
	})
	_ = server.Serve(l)
	if !stop() {
		<-ended
	}
}

// completeViewTimeout limits how long a node that has just started waits to learn of all services and key owners before
// it serves callers. The connections of callers wait meanwhile.
const completeViewTimeout = 2 * time.Second

// waitForCompleteView returns when the node has a complete view, or after completeViewTimeout.
func (n *Node) waitForCompleteView(ctx context.Context) {
	deadline := time.Now().Add(completeViewTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		b := n.loop.Snapshot()
		if hasCompleteView(b, n.config.Settings.Node.ZoneList()) {
			return
		}
		pause.For(ctx, parts.GatePollInterval)
	}
}

// hasCompleteView reports whether the node knows an instance of each service that has a document, and which node
// answers for each key owner of the latest epoch, in the shards of all availability zones.
func hasCompleteView(b *board.Board, zones []string) bool {
	for service := range b.Documents.ByService {
		if len(b.Members.ByService[service]) == 0 {
			return false
		}
	}
	for _, zone := range zones {
		shard, known := b.KeyOwners.Shards[zone]
		if !known {
			return false
		}
		for _, m := range shard.Last().Members {
			if !flow.KnowsOwner(b, m.Node) {
				return false
			}
		}
	}
	return len(b.Documents.ByService) > 0
}

// resolveAt asks the node at the address for the state of an attempt or a key.
func (n *Node) resolveAt(ctx context.Context, address string, query peer.ResolveQuery) (peer.Resolution, error) {
	return n.peerClient.Resolve(ctx, address, query, controlTimeout)
}
