package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// dialer opens connections to the backend server, up to the number that the backend server allows. A connection counts
// against this limit until the backend server has closed it too. Otherwise a canceled request would free its connection
// immediately, and the backend server would get the next one while it still holds the old one.
type dialer struct {
	group conc.WaitGroup

	mu      sync.Mutex
	limit   int
	address string
	limiter *connectionLimiter
}

// connectionLimiter limits the number of open connections to one backend server.
type connectionLimiter struct {
	mu    sync.Mutex
	limit int
	open  int
	// changed is closed whenever open or limit changes, and then replaced.
	changed chan struct{}
}

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{limit: limit, changed: make(chan struct{})}
}

// setLimit sets the maximum number of connections. Connections that are already open stay open.
func (d *dialer) setLimit(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = limit
	if d.limiter != nil {
		d.limiter.update(func(c *connectionLimiter) { c.limit = limit })
	}
}

// limiterFor returns the limiter of the backend server at the address. A new address gets a new limiter.
func (d *dialer) limiterFor(address string) *connectionLimiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limiter == nil || d.address != address {
		d.address, d.limiter = address, newConnectionLimiter(d.limit)
	}
	return d.limiter
}

// dialTimeout limits the time to open a connection.
const dialTimeout = 2 * time.Second

// dial waits until the limit allows another connection and opens it. If the context ends first, the connection is opened
// and closed in the background, and counts against the limit until the backend server has closed it too: the backend
// server may have accepted it.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	limiter := d.limiterFor(address)
	if err := limiter.acquire(ctx); err != nil {
		return nil, err
	}
	results := make(chan dialResult)
	d.group.Go(func() {
		r := d.open(context.WithoutCancel(ctx), network, address, limiter)
		select {
		case results <- r:
		case <-ctx.Done():
			if r.err == nil {
				_ = r.conn.Close()
			}
		}
	})
	select {
	case r := <-results:
		return r.conn, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dialResult is a connection, or the error of its dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// open opens a connection that the limiter has counted.
func (d *dialer) open(ctx context.Context, network, address string, limiter *connectionLimiter) dialResult {
	netDialer := net.Dialer{Timeout: dialTimeout}
	conn, err := netDialer.DialContext(ctx, network, address)
	if err != nil {
		limiter.release()
		return dialResult{err: err}
	}
	return dialResult{conn: &connection{Conn: conn, dialer: d, limiter: limiter}}
}

func (c *connectionLimiter) acquire(ctx context.Context) error {
	for {
		changed, ok := c.tryAcquire()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *connectionLimiter) tryAcquire() (<-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.limit {
		return c.changed, false
	}
	c.open++
	return nil, true
}

func (c *connectionLimiter) release() {
	c.update(func(c *connectionLimiter) { c.open-- })
}

func (c *connectionLimiter) update(change func(*connectionLimiter)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
	close(c.changed)
	c.changed = make(chan struct{})
}

// connection is a connection to the backend server. Close returns immediately, but the connection counts against the
// limit until the backend server has closed it too, or lingerTimeout has passed.
type connection struct {
	net.Conn
	dialer  *dialer
	limiter *connectionLimiter

	closed atomic.Bool
	// readMu ensures that Read and lingerClose never read at the same time.
	readMu sync.Mutex
}

// SyscallConn returns the raw network connection.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Read reads from the connection. After Close it returns net.ErrClosed.
func (c *connection) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

// Close aborts pending reads and writes, and closes the connection in the background.
func (c *connection) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	err := c.SetDeadline(time.Now()) // aborts pending reads and writes
	c.dialer.group.Go(c.lingerClose)
	return err
}

const (
	// lingerTimeout is how long lingerClose waits for the backend server to close its side of a connection.
	lingerTimeout = 5 * time.Second
	// maxLingerBytes is how many bytes lingerClose reads meanwhile. A backend server that sends more may send without
	// end until the connection is closed.
	maxLingerBytes = 64 << 10
)

// lingerClose shuts down the write side and waits until the backend server has closed the connection.
func (c *connection) lingerClose() {
	defer c.limiter.release()
	defer func() { _ = c.Conn.Close() }()
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
}
