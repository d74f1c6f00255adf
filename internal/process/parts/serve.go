package parts

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
)

// Socket is a listener of a node and its address; an empty address stands for none.
type Socket struct {
	Listener *net.Listener
	Address  string
}

// Listen opens the sockets.
func Listen(sockets ...Socket) error {
	for _, s := range sockets {
		if s.Address == "" {
			continue
		}
		l, err := net.Listen("tcp", s.Address)
		if err != nil {
			return trace.Wrap(err)
		}
		*s.Listener = l
	}
	return nil
}

// Close closes those of the listeners that are open.
func Close(listeners ...net.Listener) {
	for _, l := range listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// NewHTTPLogger returns a log that turns the lines of an HTTP server into events.
func NewHTTPLogger(limiter *events.Limiter) *log.Logger {
	return log.New(httpErrorWriter{limiter}, "", 0)
}

type httpErrorWriter struct {
	limiter *events.Limiter
}

// Write logs one line.
func (e httpErrorWriter) Write(line []byte) (int, error) {
	e.limiter.Emit(time.Now(), events.HTTPFailed, events.Fields{"error": strings.TrimSpace(string(line))})
	return len(line), nil
}

// PeerServerOptions returns how a node serves other nodes. Each answer is sent together with the end of its RPC.
func PeerServerOptions(s *settings.Settings, limiter *events.Limiter) drpcserver.Options {
	return drpcserver.Options{
		Manager: drpcmanager.Options{
			InactivityTimeout: s.Peer.IdleTimeout,
			Stream:            drpcstream.Options{ManualFlush: true},
		},
		Log: PeerErrorLogger(limiter),
	}
}

// PeerErrorLogger returns a function that logs how a connection of another node ended. That the other end closed it, or gave up a
// call, is no fault.
func PeerErrorLogger(limiter *events.Limiter) func(error) {
	return func(err error) {
		switch {
		case drpc.ClosedError.Has(err), errors.Is(err, io.EOF), errors.Is(err, context.Canceled):
		case errors.Is(err, context.DeadlineExceeded):
			limiter.Emit(time.Now(), events.PeerIdle, nil)
		default:
			limiter.Emit(time.Now(), events.PeerGarbage, events.Fields{"error": err.Error()})
		}
	}
}

// CountRPCs returns a handler that counts the requests of other nodes in flight, until each answer is written.
func CountRPCs(inFlight *atomic.Int64, next drpc.Handler) drpc.Handler {
	return countingHandler{inFlight: inFlight, next: next}
}

type countingHandler struct {
	inFlight *atomic.Int64
	next     drpc.Handler
}

// HandleRPC passes an RPC on and returns when its answer is written.
func (h countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	return h.next.HandleRPC(stream, rpc)
}
