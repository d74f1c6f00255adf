package routed

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/drain"
	"github.com/comfreyhoist/comfreyhoist/internal/process/parts"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// trafficState counts the requests in flight from callers and from other nodes, and holds the state of the drain.
type trafficState struct {
	// replyTime is the drain.State's ReplyTime.
	replyTime time.Duration

	callerRequests atomic.Int64
	peerRequests   atomic.Int64
	// phase is the drain.Phase. drainEnd is when requests are given up, in Unix nanoseconds; it is set before the phase is.
	phase    atomic.Int32
	drainEnd atomic.Int64
}

// drain returns the state of the drain.
func (s *trafficState) drain() drain.State {
	return drain.State{Phase: drain.Phase(s.phase.Load()), End: time.Unix(0, s.drainEnd.Load()), ReplyTime: s.replyTime}
}

// limitOf returns the limit of a request with the deadline that is sent to a backend server now.
func (s *trafficState) limitOf(deadline time.Time) drain.Limit {
	return s.drain().Limit(deadline)
}

// beginDrain begins the drain, which ends at the given time.
func (s *trafficState) beginDrain(end time.Time) {
	s.drainEnd.Store(end.UnixNano())
	s.phase.Store(int32(drain.Closing))
}

// refuse begins the phase of the drain in which only calls of the local backend server are accepted.
func (s *trafficState) refuse() {
	s.phase.Store(int32(drain.Refusing))
}

// isClosing reports whether the node drains, so that callers' connections are closed after their next response.
func (s *trafficState) isClosing() bool {
	return drain.Phase(s.phase.Load()) != drain.Serving
}

// countRequests counts the requests of callers in flight.
func (s *trafficState) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		s.callerRequests.Add(1)
		defer s.callerRequests.Add(-1)
		next.ServeHTTP(rw, r)
	})
}

const (
	// acceptTime is how long the node accepts callers after the start of the drain. Callers that check readiness do so
	// every second and leave after two failed checks. The last requests have to end before the process is killed.
	acceptTime = 2600 * time.Millisecond
	// backendWorkTime is how long a backend server whose requests make calls gets new requests after the start of the
	// drain. The calls go through this node and have the rest of the drain to finish.
	backendWorkTime = 1100 * time.Millisecond
	// quietPeriod is how long no request may be in flight before the next step of the drain.
	quietPeriod = 200 * time.Millisecond
	// drainRatio is the ratio of the grace time after which requests are given up, and giveUpRatio that for their
	// responses. What is left is for the end of the process.
	drainRatio  = 0.85
	giveUpRatio = 0.05
	// replyRatio is the ratio of the grace time, before requests are given up, that is kept for the responses of backend
	// servers that stop at their deadlines.
	replyRatio = 0.04
)

// partOf returns the part of the grace time with the given ratio.
func (n *Node) partOf(ratio float64) time.Duration {
	return time.Duration(ratio * float64(n.config.Adapter.StopGrace))
}

// drain serves callers until they have left, and then takes the backend server out of use. What was accepted has the rest of
// the grace time to end, with the calls that it makes. The backend server keeps running, and gets requests again from the
// next node process beside it.
func (n *Node) drain(ctx context.Context) {
	n.config.Log.Emit(events.DrainStarted, nil)
	end := time.Now().Add(n.partOf(drainRatio))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.traffic.beginDrain(end)
	n.loop.Do(ctx, func(b *board.Board) { b.Self.Draining = true })
	pause.For(ctx, backendWorkTime)
	if n.receiver.MakesCalls() {
		n.withdrawBackend(ctx)
	}
	pause.For(ctx, acceptTime-backendWorkTime)
	n.traffic.refuse()
	n.withdrawBackend(ctx)
	n.callerServer.CloseIdle()
	waitQuiet(ctx, func() bool { return n.traffic.callerRequests.Load() == 0 && n.traffic.peerRequests.Load() == 0 })
	_ = n.listeners.caller.Close()
	n.awaitCallers(ctx)
	n.config.Log.Emit(events.DrainFinished, events.Fields{"calls": n.traffic.callerRequests.Load(), "rpcs": n.traffic.peerRequests.Load()})
	n.giveUpRequests(context.WithoutCancel(ctx))
}

// awaitCallers returns when the callers have closed their connections behind the last response, or when the context ends. Idle
// connections are closed.
func (n *Node) awaitCallers(ctx context.Context) {
	for n.callerServer.CloseIdle(); ctx.Err() == nil && n.callerServer.OpenConnections() > 0; n.callerServer.CloseIdle() {
		pause.For(ctx, parts.GatePollInterval)
	}
}

// giveUpRequests answers the requests of callers that are left when the drain ends. Those that no backend server runs are
// refused as not run.
func (n *Node) giveUpRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, n.partOf(giveUpRatio))
	defer cancel()
	n.callerServer.GiveUp()
	for ctx.Err() == nil && n.callerServer.OpenRequests() > 0 {
		pause.For(ctx, parts.GatePollInterval)
	}
}

// withdrawBackend announces that the backend server is out of use, so that it gets no new requests.
func (n *Node) withdrawBackend(ctx context.Context) {
	n.loop.Do(ctx, func(b *board.Board) { b.Self.Leaving = true })
}

// waitQuiet returns when isIdle has been true for quietPeriod, or when the context ends.
func waitQuiet(ctx context.Context, isIdle func() bool) {
	lastActive := time.Now()
	for ctx.Err() == nil && time.Since(lastActive) < quietPeriod {
		if !isIdle() {
			lastActive = time.Now()
		}
		pause.For(ctx, parts.GatePollInterval)
	}
}

const (
	// maxRoutesBytes is the maximum size of the routes in the store, in bytes.
	maxRoutesBytes = 1 << 20
	// messageOverhead is the maximum size of what a message between nodes holds beside a body or the routes, in bytes.
	messageOverhead = 256 << 10
)

// maxMessage returns the maximum size of a message between nodes, in bytes.
func maxMessage(s *settings.Settings) int {
	return max(int(s.Caller.MaxBody), maxRoutesBytes) + messageOverhead
}

func (n *Node) servePeers(ctx context.Context) {
	mux := drpcmux.New()
	err := peerpb.DRPCRegisterPeer(mux, peer.NewServer(peer.ServerConfig{
		Receiver: n.fencedRunner, Outcomes: n.fencedRunner, Promiser: n.fencedRunner, Versions: n.routes,
	}))
	if err == nil {
		err = peerpb.DRPCRegisterQuarantine(mux, peer.NewQuarantineServer(n.quarantine))
	}
	if err == nil {
		err = peerpb.DRPCRegisterRoutes(mux, peer.NewRoutesServer(n.routes))
	}
	if err != nil {
		n.config.Log.Emit(events.NodeFailed, events.Fields{"error": err.Error()})
		return
	}
	handler := peer.NewHandler(parts.CountRPCs(&n.traffic.peerRequests, mux), n.compressor)
	server := drpcserver.NewWithOptions(handler, parts.PeerServerOptions(n.config.Settings, maxMessage(n.config.Settings), n.limiter))
	_ = server.Serve(ctx, n.listeners.peer)
}

// idleTimeout is how long a caller's connection is kept open without a request. It is longer than callers keep idle
// connections.
const idleTimeout = 2 * time.Minute

// serveHTTP serves until the context ends. The context ends after the drain, when nothing is in flight any more.
func serveHTTP(ctx context.Context, server *http.Server, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(l)
	<-ctx.Done()
}

const (
	// writeTimeout is how long writing a response may block because the caller does not read it.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long a caller has to read the last response of its connection and to close it.
	lingerTimeout = 10 * time.Second
	// maxPending is the number of requests of one caller connection that are handled concurrently.
	maxPending = 16
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 64 << 10
)

// newCallerServer returns the server for the requests of callers.
func (n *Node) newCallerServer() *caller.Server {
	s := n.config.Settings.Caller
	return caller.NewServer(caller.ServerConfig{
		Handler:       n.traffic.countRequests(n.callerHandler()),
		HeaderTimeout: s.HeaderTimeout,
		BodyTimeout:   s.BodyTimeout,
		IdleTimeout:   idleTimeout,
		WriteTimeout:  writeTimeout,
		LingerTimeout: lingerTimeout,
		MaxHeader:     maxHeaderBytes,
		MaxBody:       s.MaxBody,
		MaxPending:    maxPending,
		IsClosing:     n.traffic.isClosing,
		Failed: func(remote string, err error) {
			n.limiter.Emit(time.Now(), events.HTTPFailed, events.Fields{"remote": remote, "error": err.Error()})
		},
	})
}

// serveCallers serves until the listener closes, and returns when the context ends.
func (n *Node) serveCallers(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = n.listeners.caller.Close()
		n.callerServer.Close()
	})
	defer stop()
	n.callerServer.Serve(ctx, n.listeners.caller)
	<-ctx.Done()
}

// newHTTPServer returns a server for the handler that is not started.
func (n *Node) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: n.config.Settings.Caller.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          parts.NewHTTPLogger(n.limiter),
	}
}

// logRejected logs a malformed request of a caller.
func (n *Node) logRejected(r *http.Request, reason call.Reason, text string) {
	n.limiter.Emit(time.Now(), events.CallerRejected, events.Fields{
		"remote": r.RemoteAddr, "reason": string(reason), "text": text,
	})
}

func (n *Node) logRejectedAnnouncement(instance, fault string) {
	n.limiter.Emit(time.Now(), events.CallerRejected, events.Fields{"instance": instance, "text": fault})
}

// recordReply counts a request of a caller, and logs it if it got no response from a backend server.
func (n *Node) recordReply(r *call.Request, reply *call.Reply, latency time.Duration) {
	n.requestStats.record(r.Kind, reply, latency)
	if reply.Outcome == call.Ran {
		return
	}
	number := events.RequestRefused
	if reply.Outcome == call.Unknown {
		number = events.RequestFailed
	}
	b := n.loop.Snapshot()
	n.requestLog.Emit(time.Now(), number, events.Fields{
		"request":        r.Root.ID,
		"kind":           r.Kind,
		"service":        r.Service,
		"rank":           r.Root.Rank,
		"depth":          r.Depth,
		"outcome":        reply.Outcome.String(),
		"reason":         string(reply.Reason),
		"retry_after_ms": reply.RetryAfter.Milliseconds(),
		"took_ms":        latency.Milliseconds(),
		"routes_version": b.Routes.Version,
		"instances":      len(b.Members.ByService[r.Service]),
	})
}

// logTakenLate logs a call that was taken while the node drains, and what was known of it.
func (n *Node) logTakenLate(r *call.Request, parent *call.RunningRequest, known drain.Request) {
	kind := ""
	if parent != nil {
		kind = parent.Kind
	}
	n.requestLog.Emit(time.Now(), events.RequestTakenLate, events.Fields{
		"request":       r.Root.ID,
		"kind":          r.Kind,
		"service":       r.Service,
		"parent":        kind,
		"running":       n.runningRequests.Count(),
		"left_ms":       time.Until(r.Deadline).Milliseconds(),
		"drain_left_ms": time.Until(n.traffic.drain().End).Milliseconds(),
		"typical_ms":    known.Duration.Typical.Milliseconds(),
		"longest_ms":    known.Duration.Longest.Milliseconds(),
	})
}
