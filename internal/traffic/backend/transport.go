package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/http1"
)

const (
	// maxIdleTime is how long an idle connection is kept. A Keep-Alive header of the backend server can only shorten it.
	maxIdleTime = 4 * time.Second
	// idleMargin is how long before the backend server's own idle timeout a connection is closed.
	idleMargin = 500 * time.Millisecond
	// asyncWriteSize is the body size, in bytes, from which a request is written while the response is read: the backend
	// server may respond before it has read the whole body.
	asyncWriteSize = 16 << 10
)

// transport keeps persistent connections to the local backend server. Unlike http.Transport, it never sends a request
// twice, it lets the goroutine that waits for the response write the request and read the response, and it lets its user
// recognize the responses to earlier requests.
type transport struct {
	dialer dialer
	// budget counts the memory for the responses that are being read.
	budget *readingBudget

	mu      sync.Mutex
	address string
	// idle holds the connections that aren't in use, the most recently used one last.
	idle []*persistentConn
	// sweep closes expired idle connections; nil while there are none.
	sweep *time.Timer
}

// get returns a connection to the address for the exclusive use of one request. It has carried no request with the same
// ID. A request without an ID gets a new connection if its response could be identified otherwise.
func (t *transport) get(ctx context.Context, address string, id identity) (*persistentConn, error) {
	for id.header == "" || id.value != "" {
		idle := t.pop(address, id.value)
		if idle == nil {
			break
		}
		if idle.isReusable(time.Now()) {
			return idle, nil
		}
		_ = idle.Close()
	}
	conn, err := t.dialer.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newPersistentConn(conn, t.budget), nil
}

// pop removes and returns the most recently used idle connection that hasn't carried the request, or nil. If all have
// carried it, one is closed in favor of a new one. Idle connections to another address belong to an earlier backend
// server and are closed.
func (t *transport) pop(address, id string) *persistentConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address != address {
		t.closeIdle(len(t.idle))
		t.address = address
	}
	for i, conn := range slices.Backward(t.idle) {
		if !conn.carried.contains(id) {
			t.idle = slices.Delete(t.idle, i, i+1)
			return conn
		}
	}
	t.closeIdle(min(len(t.idle), 1))
	return nil
}

// put keeps the connection for another request, and closes the idle connections that have expired.
func (t *transport) put(address string, conn *persistentConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address != address {
		_ = conn.Close()
		return
	}
	t.closeExpired(time.Now())
	t.idle = append(t.idle, conn)
	if t.sweep == nil {
		t.sweep = time.AfterFunc(maxIdleTime, t.sweepIdle)
	}
}

// giveBack keeps a connection on which nothing was sent.
func (t *transport) giveBack(address string, conn *persistentConn) {
	if conn.carried.isEmpty() {
		conn.idleDeadline = time.Now().Add(maxIdleTime)
	}
	t.put(address, conn)
}

// sweepIdle closes the idle connections that have expired, and runs again while there are others. A backend server may
// send on an idle connection until it is closed.
func (t *transport) sweepIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeExpired(time.Now())
	t.sweep = nil
	if len(t.idle) > 0 {
		t.sweep = time.AfterFunc(maxIdleTime, t.sweepIdle)
	}
}

// closeExpired closes the idle connections that have expired.
func (t *transport) closeExpired(now time.Time) {
	expired := 0
	for expired < len(t.idle) && !now.Before(t.idle[expired].idleDeadline) {
		expired++
	}
	t.closeIdle(expired)
}

// closeIdle closes the given number of idle connections, the least recently used ones first.
func (t *transport) closeIdle(count int) {
	for _, conn := range t.idle[:count] {
		_ = conn.Close()
	}
	t.idle = slices.Delete(t.idle, 0, count)
}

// setLimit sets the maximum number of connections and closes the idle ones.
func (t *transport) setLimit(connections int) {
	t.dialer.setLimit(connections)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeIdle(len(t.idle))
}

// persistentConn is a connection to the backend server that can carry several requests, one at a time.
type persistentConn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	header *headerLimiter
	writer *bufio.Writer
	// carried holds the requests that the connection has carried. Late responses to them may arrive.
	carried carriedRequests
	// repeatsIDs reports whether a response on the connection had the ID of its request.
	repeatsIDs bool
	// idleTimeout is how long the connection may be idle, according to the last response. idleDeadline is when the
	// current idle period ends.
	idleTimeout  time.Duration
	idleDeadline time.Time
	// written is closed when the write of the current request has ended. writeErr is then its error.
	written  chan struct{}
	writeErr error
}

func newPersistentConn(conn net.Conn, budget *readingBudget) *persistentConn {
	header := &headerLimiter{Reader: conn, budget: budget}
	c := &persistentConn{Conn: conn, header: header, reader: bufio.NewReader(header), writer: bufio.NewWriter(conn)}
	if s, ok := conn.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn() // without it, isReusable only checks the idle deadline
	}
	return c
}

// isReusable reports whether another request may be sent: the idle deadline hasn't passed, and the backend server has
// neither closed the connection nor sent unexpected data.
func (c *persistentConn) isReusable(now time.Time) bool {
	if !now.Before(c.idleDeadline) {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// send writes the request. A request with a body of at least asyncWriteSize bytes is written in the background.
func (c *persistentConn) send(t *transport, request *http.Request) error {
	c.written, c.writeErr = make(chan struct{}), nil
	if request.ContentLength < asyncWriteSize {
		defer close(c.written)
		return c.write(request)
	}
	t.dialer.group.Go(func() {
		defer close(c.written)
		_ = c.write(request) // checkEndOfStream looks at the error where it matters
	})
	return nil
}

func (c *persistentConn) write(request *http.Request) error {
	c.writeErr = request.Write(c.writer)
	if err := c.writer.Flush(); err != nil {
		c.writeErr = err // the error of the connection itself, which Write hides
	}
	return c.writeErr
}

// receive reads the header of the next response that isn't informational. It returns errHeaderTooLarge for a header
// without end, and http1.ErrMalformed for one that is none of HTTP.
func (c *persistentConn) receive(request *http.Request) (*http.Response, error) {
	c.header.begin(c.reader.Buffered())
	defer c.header.end()
	for {
		response, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			c.idleTimeout = parseIdleTimeout(response.Header.Get("Keep-Alive"))
			return response, nil
		}
	}
}

// readHead reads the next head, which may be informational.
func (c *persistentConn) readHead(request *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.header.beginHead(buffered); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, err
	}
	if err := http1.CheckStatusLine(response); err != nil {
		return nil, err
	}
	return response, checkFraming(response, &c.header.names)
}

// prepareReuse reports whether the connection can carry another request, and sets its idle deadline. The response must
// have been read completely.
func (c *persistentConn) prepareReuse(now time.Time, response *http.Response) bool {
	select {
	case <-c.written:
	default:
		return false // the backend server responded before it read the whole request
	}
	c.idleDeadline = now.Add(c.idleTimeout)
	return c.writeErr == nil && !response.Close && c.reader.Buffered() == 0 && !c.carried.isFull()
}

// checkEnd returns an error unless the response, whose body has been read, is known to have ended well.
func (c *persistentConn) checkEnd(response *http.Response) error {
	if endsWithStream(response) {
		return c.checkEndOfStream()
	}
	return http1.CheckNames(response.Trailer)
}

// errReset is returned for a response whose end can't be told from a reset of its connection.
var errReset = errors.New("connection was reset before the response ended")

// checkEndOfStream returns errReset unless the end of the stream that was read is known to come from the backend server. After
// a reset, either the read or the write of the request gets the error, and the other one only sees a stream that has ended.
// The write is broken off if it still goes on.
func (c *persistentConn) checkEndOfStream() error {
	_ = c.SetWriteDeadline(time.Now())
	<-c.written
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return nil // the write met no reset
	case errors.Is(c.writeErr, syscall.EPIPE):
		return nil // the reset came after the end of the stream
	}
	return fmt.Errorf("%w: %w", errReset, c.writeErr)
}

// parseIdleTimeout returns how long an idle connection is kept: idleMargin less than the timeout in the Keep-Alive
// header, and at most maxIdleTime.
func parseIdleTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(text)
		if found && err == nil {
			return min(max(time.Duration(seconds)*time.Second-idleMargin, 0), maxIdleTime)
		}
	}
	return maxIdleTime
}
