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
	"storj.io/drpc/drpcwire"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
)

// Socket is an address to listen on, and the variable that receives the listener. No listener is opened for an empty
// address.
type Socket struct {
	Listener *net.Listener
	Address  string
}

// Listen opens a listener for each socket that has an address.
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

// Close closes the listeners that are not nil.
func Close(listeners ...net.Listener) {
	for _, l := range listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// NewHTTPLogger returns a logger for an HTTP server. Each line becomes an event.
func NewHTTPLogger(limiter *events.Limiter) *log.Logger {
	return log.New(httpErrorWriter{limiter}, "", 0)
}

type httpErrorWriter struct {
	limiter *events.Limiter
}

// Write emits one log line as an event.
func (e httpErrorWriter) Write(line []byte) (int, error) {
	e.limiter.Emit(time.Now(), events.HTTPFailed, events.Fields{"error": strings.TrimSpace(string(line))})
	return len(line), nil
}

// PeerServerOptions returns the options of the server for other nodes. maxMessage is the maximum size of a message in bytes;
// 0 for the default of DRPC. ManualFlush sends each response together with the end of its RPC.
func PeerServerOptions(s *settings.Settings, maxMessage int, limiter *events.Limiter) drpcserver.Options {
	return drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
			InactivityTimeout: s.Peer.IdleTimeout,
			Stream:            drpcstream.Options{ManualFlush: true},
		},
		Log: PeerErrorLogger(limiter),
	}
}

// PeerErrorLogger returns a function that logs the error with which a connection from another node ended. A connection
// that the peer closed and a call that it canceled are not logged.
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

// CountRPCs returns a handler that counts the RPCs of other nodes in flight. An RPC is counted until its response is
// written.
func CountRPCs(inFlight *atomic.Int64, next drpc.Handler) drpc.Handler {
	return countingHandler{inFlight: inFlight, next: next}
}

type countingHandler struct {
	inFlight *atomic.Int64
	next     drpc.Handler
}

// HandleRPC passes an RPC to the next handler and returns when its response is written.
func (h countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	return h.next.HandleRPC(stream, rpc)
}
