package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/process/parts"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/flow"
)

// trafficState counts what is in flight from callers and between nodes, until each answer is written.
type trafficState struct {
	inFlight atomic.Int64
	// closing tells callers on open connections to make new ones elsewhere.
	closing atomic.Bool
}

// countRequests counts the requests of callers, and makes callers leave their open connections while the node leaves.
// Until its listener closes the node goes on as an entry and passes their requests on, because a refusal would only
// cost them a second attempt.
func (s *trafficState) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if s.closing.Load() {
			rw.Header().Set("Connection", "close")
		}
		next.ServeHTTP(rw, r)
	})
}

const (
	// leavePollInterval is the time between looks at whether the node is to leave.
	leavePollInterval = 50 * time.Millisecond
	// quietPeriod is how long nothing may be in flight before the listeners close.
	quietPeriod = 250 * time.Millisecond
	// shutdownTimeout bounds the writing of the last answers once the node has drained.
	shutdownTimeout = 5 * time.Second
)

// waitForLeave returns when the process is asked to stop, when an operator drains the node, or when the backend
// server announces that it leaves.
func (n *Node) waitForLeave(ctx context.Context) {
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for {
		if b := n.loop.Snapshot(); b.Self.Draining || b.Backend.Leaving {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// drain tells the others, hands the keys over, and waits until nothing is in flight. For the first moments, while
// others still learn of it, the node goes on as an entry and as a home, and passes the work on.
func (n *Node) drain(ctx context.Context) {
	n.config.Log.Emit(events.DrainStarted, nil)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	n.traffic.closing.Store(true)
	n.loop.Do(ctx, func(b *board.Board) {
		b.Self.Draining, b.Self.Leaving = true, true
		if successor, ok := flow.ChooseSuccessor(b); ok {
			b.Self.Successor = successor.Node
		}
	})
	pause.For(ctx, drainPropagationDelay)
	n.handOver(ctx)
	n.waitIdle(ctx)
	n.stopCallerServer()
	n.waitQuiet(ctx)
	n.config.Log.Emit(events.DrainFinished, nil)
}

// handOver gives the keys to the successor, or to another node where that one leaves too.
func (n *Node) handOver(ctx context.Context) {
	for ctx.Err() == nil {
		b := n.loop.Snapshot()
		successor, ok := b.Members.ByNode[b.Self.Successor]
		if !ok {
			successor, ok = flow.ChooseSuccessor(b)
		}
		if !ok {
			return
		}
		keys, result := n.keyOwner.HandOver(ctx, n.peerClient, successor)
		fields := events.Fields{"successor": successor.Node, "keys": keys}
		switch result {
		case flow.HandoverAccepted:
			n.config.Log.Emit(events.KeysHandedOver, fields)
			pause.For(ctx, handoverPropagationDelay)
			return
		case flow.HandoverUnknown:
			n.config.Log.Emit(events.KeysLost, fields)
			return
		}
		n.chooseSuccessor(ctx, successor.Node)
	}
}

// chooseSuccessor names another successor in the place of one that takes nothing.
func (n *Node) chooseSuccessor(ctx context.Context, rejecting string) {
	n.loop.Do(ctx, func(b *board.Board) {
		b.Self.Successor = ""
		if next, ok := flow.ChooseSuccessor(b); ok && next.Node != rejecting {
			b.Self.Successor = next.Node
		}
	})
	pause.For(ctx, leavePollInterval)
}

// waitIdle returns when the backend server has no request, so that no call of its own can still come.
func (n *Node) waitIdle(ctx context.Context) {
	for ctx.Err() == nil && n.gate.Load().InFlight > 0 {
		pause.For(ctx, parts.GatePollInterval)
	}
}

// waitQuiet returns when nothing has been in flight for a moment, also what came in here and runs on other nodes.
func (n *Node) waitQuiet(ctx context.Context) {
	lastActive := time.Now()
	for ctx.Err() == nil && time.Since(lastActive) < quietPeriod {
		if n.traffic.inFlight.Load() > 0 || n.gate.Load().InFlight > 0 {
			lastActive = time.Now()
		}
		pause.For(ctx, parts.GatePollInterval)
	}
}

// shutdown closes the listener, serves the connections that are open for as long as the working context lasts, and
// then waits for the last answers to be written. The server's own Shutdown drops a request that it has just read, so
// it comes last, when nothing is in flight.
func shutdown(serving context.Context, server *http.Server, l net.Listener) {
	_ = l.Close()
	<-serving.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(serving), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
