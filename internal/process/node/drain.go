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

// trafficState counts the requests in flight from callers and from other nodes. A request is counted until its response
// is written.
type trafficState struct {
	inFlight atomic.Int64
	// closing reports whether responses ask callers to close their connections and reconnect to another node.
	closing atomic.Bool
}

// countRequests counts the requests of callers and asks callers to close their connections while the node drains.
// Until its listener closes, the node remains an entry node and forwards requests to other nodes: a refusal would only
// cost the caller a second attempt.
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
	// leavePollInterval is the interval between checks whether the node has to drain. It is also the delay before the
	// keys are offered to another successor.
	leavePollInterval = 50 * time.Millisecond
	// quietPeriod is how long no request may be in flight before the listeners close.
	quietPeriod = 250 * time.Millisecond
	// shutdownTimeout limits the time for writing the last responses after the drain.
	shutdownTimeout = 5 * time.Second
)

// waitForLeave returns when the context ends (the process is asked to stop, or an operator drains the node), when the
// node is marked as draining, or when the backend server announces that it leaves.
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

// drain announces that the node leaves, hands its keys over, and waits until nothing is in flight. During
// drainPropagationDelay, while its peers still learn that it leaves, the node remains an entry node and a key owner and
// forwards the requests that it gets.
func (n *Node) drain(ctx context.Context) {
	n.config.Log.Emit(events.DrainStarted, nil)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	n.traffic.closing.Store(true)
	n.loop.Do(ctx, func(b *board.Board) {
		b.Self.Draining, b.Self.Leaving = true, true
		if successor, ok := flow.ChooseSuccessor(b, nil); ok {
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

// handOver hands the keys over to the successor. It chooses another successor if the current one is unknown or does not
// accept the keys. If all have refused, it waits for a node that starts.
func (n *Node) handOver(ctx context.Context) {
	refused := map[string]uint64{}
	for ctx.Err() == nil {
		b := n.loop.Snapshot()
		successor, ok := b.Members.ByNode[b.Self.Successor]
		if !ok {
			successor, ok = flow.ChooseSuccessor(b, refused)
		}
		if !ok && len(refused) == 0 {
			return
		}
		if !ok {
			pause.For(ctx, leavePollInterval)
			continue
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
		refused[successor.Node] = successor.Incarnation
		n.chooseSuccessor(ctx, refused)
	}
}

// chooseSuccessor chooses a successor other than the nodes that have refused the keys.
func (n *Node) chooseSuccessor(ctx context.Context, refused map[string]uint64) {
	n.loop.Do(ctx, func(b *board.Board) {
		b.Self.Successor = ""
		if next, ok := flow.ChooseSuccessor(b, refused); ok {
			b.Self.Successor = next.Node
		}
	})
	pause.For(ctx, leavePollInterval)
}

// waitIdle returns when the backend server has no request in flight, so that it makes no further calls.
func (n *Node) waitIdle(ctx context.Context) {
	for ctx.Err() == nil && n.gate.Load().InFlight > 0 {
		pause.For(ctx, parts.GatePollInterval)
	}
}

// waitQuiet returns when nothing has been in flight for quietPeriod, including requests that entered here and run on
// other nodes.
func (n *Node) waitQuiet(ctx context.Context) {
	lastActive := time.Now()
	for ctx.Err() == nil && time.Since(lastActive) < quietPeriod {
		if n.traffic.inFlight.Load() > 0 || n.gate.Load().InFlight > 0 {
			lastActive = time.Now()
		}
		pause.For(ctx, parts.GatePollInterval)
	}
}

// shutdown closes the listener, serves the open connections until the serving context ends, and then waits for the last
// responses to be written. http.Server.Shutdown drops a request that it has just read, so it is called last, when
// nothing is in flight.
func shutdown(serving context.Context, server *http.Server, l net.Listener) {
	_ = l.Close()
	<-serving.Done()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(serving), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
