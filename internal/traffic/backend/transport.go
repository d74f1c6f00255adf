package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// maxIdleTime is how long an unused connection is kept where the backend server says nothing else.
	maxIdleTime = 4 * time.Second
	// idleMargin is how much sooner than the backend server a connection is closed.
	idleMargin = 500 * time.Millisecond
	// asyncWriteSize is the size in bytes from which on a request is written while its answer is awaited: the backend server may
	// answer before it has read all.
	asyncWriteSize = 16 << 10
)

// transport keeps connections to the local backend server. It does less than the library's: a request is written and its answer read by
// the goroutine that waits for it, never sent twice, and an answer that belongs to an earlier request is told apart.
type transport struct {
	dialer dialer

	mu      sync.Mutex
	address string
	// idle are the connections that nobody uses, the one used last at the end.
	idle []*persistentConn
}

// get returns a connection to the address that one request has to itself.
func (t *transport) get(ctx context.Context, address string) (*persistentConn, error) {
	for {
		idle := t.pop(address)
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
	return newPersistentConn(conn), nil
}

// pop takes out the idle connection that was used last, or returns nil. Those to another address are of a former backend server.
func (t *transport) pop(address string) *persistentConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address != address {
		t.closeIdle(len(t.idle))
		t.address = address
	}
	last := len(t.idle) - 1
	if last < 0 {
		return nil
	}
	conn := t.idle[last]
	t.idle = t.idle[:last]
	return conn
}

// put keeps a connection for the next request.
func (t *transport) put(address string, conn *persistentConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.address != address {
		_ = conn.Close()
		return
	}
	now := time.Now()
	expired := 0
	for expired < len(t.idle) && !now.Before(t.idle[expired].idleDeadline) {
		expired++
	}
	t.closeIdle(expired)
	t.idle = append(t.idle, conn)
}

// closeIdle closes so many of the connections, those that were idle longest first.
func (t *transport) closeIdle(count int) {
	for _, conn := range t.idle[:count] {
		_ = conn.Close()
	}
	t.idle = slices.Delete(t.idle, 0, count)
}

// setLimit bounds the connections, and closes those that are idle.
func (t *transport) setLimit(connections int) {
	t.dialer.setLimit(connections)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeIdle(len(t.idle))
}

// persistentConn is a connection to the backend server that may serve several requests, one after the other.
type persistentConn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	// served says that it has served a request, so that a late answer to that may come.
	served bool
	// idleTimeout is how long it may be idle, by the last answer, and until when it is now.
	idleTimeout  time.Duration
	idleDeadline time.Time
	// written is closed when the present request is written, whole is then true unless that failed.
	written        chan struct{}
	writeSucceeded bool
}

func newPersistentConn(conn net.Conn) *persistentConn {
	c := &persistentConn{Conn: conn, reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn)}
	if s, ok := conn.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn() // without it, the connection is taken for sound
	}
	return c
}

// isReusable reports whether another request may be sent: the backend server has neither closed the connection nor sent anything meanwhile.
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

// send writes the request, and returns before that where it is long.
func (c *persistentConn) send(t *transport, request *http.Request) error {
	c.written, c.writeSucceeded = make(chan struct{}), false
	if request.ContentLength < asyncWriteSize {
		defer close(c.written)
		return c.write(request)
	}
	t.dialer.group.Go(func() {
		defer close(c.written)
		_ = c.write(request) // that it failed shows in the answer, or in its absence
	})
	return nil
}

func (c *persistentConn) write(request *http.Request) error {
	err := request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	c.writeSucceeded = err == nil
	return err
}

// receive reads the head of the next answer that is final.
func (c *persistentConn) receive(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			c.idleTimeout = parseIdleTimeout(response.Header.Get("Keep-Alive"))
			return response, nil
		}
	}
}

// prepareReuse reports whether the connection may serve another request after the answer, which was read whole, and notes for how long.
func (c *persistentConn) prepareReuse(now time.Time, response *http.Response) bool {
	select {
	case <-c.written:
	default:
		return false // the backend server answered before it had read all
	}
	c.served = true
	c.idleDeadline = now.Add(c.idleTimeout)
	return c.writeSucceeded && !response.Close && c.reader.Buffered() == 0
}

// parseIdleTimeout returns how long a connection may be kept, by the header in which the backend server tells how long it keeps it.
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
