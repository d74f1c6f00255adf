package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
)

// ServerConfig sets a Server up.
type ServerConfig struct {
	Handler http.Handler
	// HeaderTimeout and BodyTimeout bound the time from a request's first byte to the end of its head, and of its body.
	HeaderTimeout, BodyTimeout time.Duration
	// IdleTimeout is how long a connection is kept without a request.
	IdleTimeout time.Duration
	// WriteTimeout is how long a caller may not read.
	WriteTimeout time.Duration
	// MaxHeader and MaxBody are in bytes.
	MaxHeader, MaxBody int64
	// MaxPending is how many requests of one connection are worked on at once.
	MaxPending int
	// IsClosing says that the next request on each connection is the last.
	IsClosing func() bool
	// Failed is told of each connection that ended in the middle of a request, or sent something else.
	Failed func(remote string, err error)
}

// Server serves callers that send further requests before the first is answered. Idempotent methods run side by side, all
// others alone; answers go out in the order of the requests. The library's own server would begin a request only after
// the one before it was answered, and wouldn't see a caller leave meanwhile.
type Server struct {
	config ServerConfig
	group  conc.WaitGroup

	mu    sync.Mutex
	conns map[*serverConn]bool
}

// NewServer returns a server without connections.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config, conns: map[*serverConn]bool{}}
}

// Serve takes connections until the listener closes, and returns when the last of them has ended.
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

// acceptRetryDelay keeps a lack of descriptors from using up the processor.
const acceptRetryDelay = 10 * time.Millisecond

// CloseIdle closes the connections on which nothing is being worked on.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
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

// serverConn is one connection of a caller.
type serverConn struct {
	server        *Server
	conn          net.Conn
	limitedReader *io.LimitedReader
	reader        *bufio.Reader
	writer        *bufio.Writer
	// pending holds the requests that are worked on, in the order of their answers.
	pending chan *exchange

	mu sync.Mutex
	// openRequests counts the requests of which the first byte was read and that are not answered.
	openRequests int
	// closed says that no further request is begun.
	closed bool
}

// exchange is a request and its answer.
type exchange struct {
	request  *http.Request
	response responseRecorder
	done     chan struct{}
	// last says that the connection closes after the answer.
	last bool
	// isOnly says that none before it was unanswered when it came.
	isOnly bool
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	limitedReader := &io.LimitedReader{R: conn, N: s.config.MaxHeader}
	return &serverConn{
		server:        s,
		conn:          conn,
		limitedReader: limitedReader,
		reader:        bufio.NewReader(limitedReader),
		writer:        bufio.NewWriter(conn),
		pending:       make(chan *exchange, s.config.MaxPending),
	}
}

// closeIdle closes the connection unless a request has begun.
func (c *serverConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests == 0 {
		c.closed = true
		_ = c.conn.Close()
	}
}

// beginRequest counts a request of which the first byte was read, and reports false where the connection was closed before.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.openRequests++
	return true
}

// endRequest counts a request that was answered, or that broke off.
func (c *serverConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRequests--
}

// serve reads requests until the caller leaves, and then ends what is still worked on for it.
func (c *serverConn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() { _ = c.conn.Close() }()
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { c.write(cancel) })
	err := c.read(ctx, &group)
	close(c.pending)
	if err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil && !isConnectionError(err) {
		c.server.config.Failed(c.conn.RemoteAddr().String(), err)
	}
	if err == nil {
		group.Wait() // the last request is read, and is answered before the connection closes
	}
}

// isConnectionError reports whether the connection was closed by either end, or was idle for too long.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// read hands requests on until the last one, which it reports as no error.
func (c *serverConn) read(ctx context.Context, group *conc.WaitGroup) error {
	for {
		x, err := c.nextExchange(ctx)
		if err != nil {
			return err
		}
		exclusive := !isSafeMethod(x.request.Method)
		if exclusive {
			c.waitForEarlierAnswers(ctx)
		}
		x.isOnly = c.hasAtMostOneOpen()
		c.pending <- x
		if !x.isOnly {
			group.Go(func() { c.handle(x) })
		}
		if x.last {
			return nil
		}
		if exclusive {
			select {
			case <-x.done:
			case <-ctx.Done():
			}
		}
	}
}

// handle makes the answer. A fault of the handler costs one request and not the process.
func (c *serverConn) handle(x *exchange) {
	defer close(x.done)
	fault := panics.Try(func() { c.server.config.Handler.ServeHTTP(&x.response, x.request) })
	if fault == nil {
		return
	}
	c.server.config.Failed(c.conn.RemoteAddr().String(), fault.AsError())
	x.response = responseRecorder{header: http.Header{}, status: http.StatusBadGateway}
}

// waitForEarlierAnswers returns when all requests before are answered, so that none of them closes the connection ahead of one
// that must not be sent again.
func (c *serverConn) waitForEarlierAnswers(ctx context.Context) {
	ticker := time.NewTicker(answeredPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && !c.hasAtMostOneOpen() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

const answeredPollInterval = time.Millisecond

// hasAtMostOneOpen reports whether no request but the newest is open.
func (c *serverConn) hasAtMostOneOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRequests <= 1
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// nextExchange reads one whole request.
func (c *serverConn) nextExchange(ctx context.Context) (*exchange, error) {
	config := &c.server.config
	c.limitedReader.N = config.MaxHeader
	_ = c.conn.SetReadDeadline(time.Now().Add(config.IdleTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if !c.beginRequest() {
		return nil, net.ErrClosed
	}
	x, err := c.readRequest(ctx)
	if err != nil {
		c.endRequest()
	}
	return x, err
}

// readRequest reads a request that has begun.
func (c *serverConn) readRequest(ctx context.Context) (*exchange, error) {
	config := &c.server.config
	_ = c.conn.SetReadDeadline(time.Now().Add(config.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		c.writeErrorResponse(err)
		return nil, err
	}
	c.limitedReader.N = config.MaxBody + config.MaxHeader
	_ = c.conn.SetReadDeadline(time.Now().Add(config.BodyTimeout))
	complete, err := c.readBody(request)
	if err != nil {
		return nil, err
	}
	request.RemoteAddr = c.conn.RemoteAddr().String()
	return &exchange{
		request:  request.WithContext(ctx),
		response: responseRecorder{header: http.Header{}},
		done:     make(chan struct{}),
		last:     request.Close || !complete || config.IsClosing(),
	}, nil
}

// readBody takes the body in, so that the next request can be read. It reports false where the body is longer than the
// bound; the handler then sees one byte more than that.
func (c *serverConn) readBody(request *http.Request) (complete bool, err error) {
	if request.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false, err
		}
	}
	if request.ContentLength == 0 {
		return true, nil
	}
	body, err := backend.ReadBody(request.Body, request.ContentLength, c.server.config.MaxBody+1)
	if err != nil {
		return false, err
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	return int64(len(body)) <= c.server.config.MaxBody, nil
}

// writeErrorResponse answers what is no request, where nothing else is being answered.
func (c *serverConn) writeErrorResponse(err error) {
	if !c.hasAtMostOneOpen() || errors.Is(err, io.EOF) || isConnectionError(err) {
		return
	}
	status := http.StatusBadRequest
	if c.limitedReader.N <= 0 {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	_, _ = io.WriteString(c.conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+
		"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// write sends answers in the order of the requests. Where that fails, the work for the caller ends. A request that is alone is worked
// on here too, which spares a goroutine whose stack would have to grow anew.
func (c *serverConn) write(cancel context.CancelFunc) {
	failed := false
	for x := range c.pending {
		if x.isOnly {
			c.handle(x)
		}
		<-x.done
		if !failed {
			failed = c.send(x) != nil
		}
		if failed {
			cancel()
			_ = c.conn.Close()
		}
		c.endRequest()
	}
}

func (c *serverConn) send(x *exchange) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.config.WriteTimeout))
	if x.request.Context().Err() != nil {
		return x.request.Context().Err()
	}
	response := http.Response{
		StatusCode:    x.response.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Request:       x.request,
		Header:        x.response.header,
		Body:          io.NopCloser(bytes.NewReader(x.response.body)),
		ContentLength: int64(len(x.response.body)),
		Close:         x.last,
	}
	if err := response.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// responseRecorder keeps an answer until it is its turn.
type responseRecorder struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the headers of the answer.
func (r *responseRecorder) Header() http.Header {
	return r.header
}

// WriteHeader sets the status.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
}

// Write adds to the body.
func (r *responseRecorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	r.body = append(r.body, p...)
	return len(p), nil
}
