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

// serverConn is a connection from a caller.
type serverConn struct {
	server        *Server
	conn          net.Conn
	limitedReader *io.LimitedReader
	reader        *bufio.Reader
	writer        *bufio.Writer
	// pending holds the requests that are not answered yet, in the order in which they were received.
	pending chan *exchange

	mu sync.Mutex
	// openRequests is the number of requests whose first byte was read and that are not answered yet.
	openRequests int
	// closed is whether the connection accepts no further requests.
	closed bool
}

// exchange is a request and its response.
type exchange struct {
	request  *http.Request
	response responseRecorder
	// done is closed when the response is complete.
	done chan struct{}
	// last is whether the connection is closed after the response.
	last bool
	// isOnly is whether all earlier requests of the connection were answered when the request was received.
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

// closeIdle closes the connection unless it has an open request.
func (c *serverConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests == 0 {
		c.closed = true
		_ = c.conn.Close()
	}
}

// beginRequest counts a request whose first byte was read. It reports whether the connection still accepts requests.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.openRequests++
	return true
}

// endRequest ends a request that was answered or whose reading failed.
func (c *serverConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRequests--
}

// serve handles requests until the caller disconnects or the last request is answered. If the caller disconnects, the
// requests that are still running are canceled.
func (c *serverConn) serve(ctx context.Context) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	cancel := func() { cancelCause(nil) }
	defer context.AfterFunc(c.server.handling, func() { cancelCause(errGivenUp) })()
	defer func() { _ = c.conn.Close() }()
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { c.write(cancel) })
	err := c.read(ctx, &group)
	close(c.pending)
	if ctx.Err() == nil && isFault(err) {
		c.server.config.Failed(c.conn.RemoteAddr().String(), err)
	}
	var refused *refusedError
	if err == nil || errors.Is(err, errLastAnswered) || errors.As(err, &refused) {
		group.Wait() // the last request was read; answer it before closing the connection
		c.linger()
	}
}

// errLastAnswered is the error of reading behind the last response.
var errLastAnswered = errors.New("the last response of the connection was written")

// refusedError is the fault of data that is not a valid request and was answered as such.
type refusedError struct {
	fault error
}

// Error returns the text of the error.
func (e *refusedError) Error() string {
	return e.fault.Error()
}

// isFault reports whether a connection ended with the error because of what the caller sent.
func isFault(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, errLastAnswered) && !isConnectionError(err)
}

// linger reads and drops what the caller sends behind the last response, until the caller closes the connection. Closing it with
// unread data would reset it, and take from the caller what it has not read yet of that response.
func (c *serverConn) linger() {
	c.closeWrite()
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.config.LingerTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}

// isConnectionError reports whether the error is a network error, such as a connection closed by either side or a
// timeout.
func isConnectionError(err error) bool {
	var netErr net.Error
	return errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// read reads requests and starts their handlers. It returns nil after the last request.
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

// handle runs the handler and records its response. A panic in the handler fails this request only, with 502, and does
// not end the process.
func (c *serverConn) handle(x *exchange) {
	defer close(x.done)
	fault := panics.Try(func() { c.server.config.Handler.ServeHTTP(&x.response, x.request) })
	if fault == nil {
		return
	}
	c.server.config.Failed(c.conn.RemoteAddr().String(), fault.AsError())
	x.response = responseRecorder{header: http.Header{}, status: http.StatusBadGateway}
}

// waitForEarlierAnswers waits until all earlier requests are answered. Otherwise one of them could close the connection
// before the response to the newest one is written, and the caller must not send that one again.
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

// answeredPollInterval is the interval between checks for unanswered requests.
const answeredPollInterval = time.Millisecond

// hasAtMostOneOpen reports whether all requests except the newest are answered.
func (c *serverConn) hasAtMostOneOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRequests <= 1
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

// nextExchange waits for the next request and reads it completely.
func (c *serverConn) nextExchange(ctx context.Context) (*exchange, error) {
	config := &c.server.config
	c.limitedReader.N = config.MaxHeader
	_ = c.conn.SetReadDeadline(time.Now().Add(config.IdleTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if !c.beginRequest() {
		return nil, errLastAnswered
	}
	x, err := c.readRequest(ctx)
	if err != nil {
		c.endRequest()
	}
	return x, err
}

// readRequest reads a request whose first byte has arrived.
func (c *serverConn) readRequest(ctx context.Context) (*exchange, error) {
	config := &c.server.config
	_ = c.conn.SetReadDeadline(time.Now().Add(config.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, c.refuse(err)
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

// readBody reads the body into memory, so that the next request can be read. It reports whether the body is within the
// limit; if not, the handler gets a body that is one byte longer than the limit.
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

// refuse answers data that is not a valid request and returns a *refusedError. If an earlier request is still unanswered, or the
// connection has failed, it answers nothing and returns the error.
func (c *serverConn) refuse(err error) error {
	if !c.hasAtMostOneOpen() || errors.Is(err, io.EOF) || isConnectionError(err) {
		return err
	}
	status := http.StatusBadRequest
	if c.limitedReader.N <= 0 {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	_, _ = io.WriteString(c.conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+
		"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	return &refusedError{fault: err}
}

// write writes the responses in the order of the requests. If a write fails, all requests of the connection are canceled.
// A request that is the only open one is also handled here, which avoids a new goroutine whose stack would have to grow.
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
	if err := context.Cause(x.request.Context()); err != nil && !errors.Is(err, errGivenUp) {
		return err
	}
	response := http.Response{
		StatusCode:    x.response.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Request:       x.request,
		Header:        x.response.header,
		Body:          io.NopCloser(bytes.NewReader(x.response.body)),
		ContentLength: int64(len(x.response.body)),
		Close:         x.last || c.closeBehindLast(),
	}
	if err := response.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if response.Close {
		c.closeWrite()
	}
	return nil
}

// closeWrite tells the caller that no response follows. The connection is read on; see linger.
func (c *serverConn) closeWrite() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// closeBehindLast reports whether the response that is written now is the last one of the connection: the server closes its
// connections, and no further request was read. The caller sends again what is still on its way.
func (c *serverConn) closeBehindLast() bool {
	if !c.server.config.IsClosing() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.closed || c.openRequests == 1
	return c.closed
}

// responseRecorder is an http.ResponseWriter that holds a response until the earlier responses are written.
type responseRecorder struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the headers of the response.
func (r *responseRecorder) Header() http.Header {
	return r.header
}

// WriteHeader sets the status.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
}

// Write appends to the body.
func (r *responseRecorder) Write(p []byte) (int, error) {
	if r.status == 0 {
		r.status = http.StatusOK
	}
	r.body = append(r.body, p...)
	return len(p), nil
}
