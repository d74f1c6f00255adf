package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Handler http.Handler
	// HeaderTimeout is the maximum time from the first byte of a request to the end of its header, and BodyTimeout from
	// there to the end of its body.
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout is how long a connection is kept open without a request.
	IdleTimeout time.Duration
	// WriteTimeout is the maximum time to write a response.
	WriteTimeout time.Duration
	// LingerTimeout is how long a connection is kept open behind its last response if the caller doesn't close it.
	LingerTimeout time.Duration
	// MaxHeader and MaxBody are the maximum sizes of a request's header and body in bytes.
	MaxHeader, MaxBody int64
	// MaxPending is the maximum number of requests that wait for their responses to be written, per connection.
	MaxPending int
	// IsClosing reports whether the next request on each connection is the last.
	IsClosing func() bool
	// Failed is called if a caller closes a connection in the middle of a request or sends data that is not HTTP, if the
	// handler panics, and if a connection cannot be accepted; remote is empty in the last case. It is not called for
	// connection resets and timeouts.
	Failed func(remote string, err error)
}

// Server is an HTTP/1.1 server with request pipelining. GET and HEAD requests of a connection run concurrently,
// requests with other methods alone; responses are written in the order of the requests. net/http.Server starts a
// pipelined request only after the previous one was answered, and does not notice in the meantime that the caller has
// disconnected.
type Server struct {
	config ServerConfig
	group  conc.WaitGroup
	// handling ends when the open requests are given up.
	handling context.Context
	giveUp   context.CancelCauseFunc

	mu    sync.Mutex
	conns map[*serverConn]bool
}

// NewServer returns a server that has no connections yet.
func NewServer(config ServerConfig) *Server {
	s := &Server{config: config, conns: map[*serverConn]bool{}}
	s.handling, s.giveUp = context.WithCancelCause(context.Background())
	return s
}

// Serve accepts connections until the listener is closed, and returns when all connections have ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	defer s.group.Wait()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.config.Failed("", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newServerConn(s, conn)
		s.track(c, true)
		s.group.Go(func() {
			defer s.track(c, false)
			c.serve(ctx)
		})
	}
}

// acceptRetryDelay is the delay after a failed accept. It prevents a busy loop while no file descriptors are free.
const acceptRetryDelay = 10 * time.Millisecond

// CloseIdle closes the connections that have no open request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// GiveUp cancels the open requests and those that are read later. Their connections stay open for the responses.
func (s *Server) GiveUp() {
	s.giveUp(errGivenUp)
}

// errGivenUp is the cause of the end of requests that are given up and still answered.
var errGivenUp = errors.New("the server has given up the request")

// OpenRequests returns the number of requests of which at least the first byte was read and whose responses are not
// written yet.
func (s *Server) OpenRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c := range s.conns {
		c.mu.Lock()
		open += c.openRequests
		c.mu.Unlock()
	}
	return open
}

// OpenConnections returns the number of connections that are not closed. Those count whose callers still read the last response.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.conn.Close()
	}
}

func (s *Server) track(c *serverConn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[c] = true
		return
	}
	delete(s.conns, c)
}
