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

// dialer makes connections to the backend server, and never has more of them than it gives. A connection counts until
// the backend server has let go of it too: a request that is given up ends its connection, and the backend server
// would see the next one while it still holds the last.
type dialer struct {
	group conc.WaitGroup

	mu      sync.Mutex
	limit   int
	address string
	limiter *connectionLimiter
}

// connectionLimiter is the connections to one backend server.
type connectionLimiter struct {
	mu    sync.Mutex
	limit int
	open  int
	// changed closes when there may be room.
	changed chan struct{}
}

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{limit: limit, changed: make(chan struct{})}
}

// setLimit bounds the connections from now on. Those that are open stay.
func (d *dialer) setLimit(limit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = limit
	if d.limiter != nil {
		d.limiter.update(func(c *connectionLimiter) { c.limit = limit })
	}
}

// limiterFor returns the count of the backend server at the address. One at another address counts anew.
func (d *dialer) limiterFor(address string) *connectionLimiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limiter == nil || d.address != address {
		d.address, d.limiter = address, newConnectionLimiter(d.limit)
	}
	return d.limiter
}

// dial waits until there is room for one more connection and makes it.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	limiter := d.limiterFor(address)
	if err := limiter.acquire(ctx); err != nil {
		return nil, err
	}
	var netDialer net.Dialer
	conn, err := netDialer.DialContext(ctx, network, address)
	if err != nil {
		limiter.release()
		return nil, err
	}
	return &connection{Conn: conn, dialer: d, limiter: limiter}, nil
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

// connection is one to the backend server. Closing it returns at once, but it counts until the other end is closed.
type connection struct {
	net.Conn
	dialer  *dialer
	limiter *connectionLimiter

	closed atomic.Bool
	// readMu is held while bytes are read, so that only one of the user and part reads.
	readMu sync.Mutex
}

// SyscallConn returns the connection as the system knows it.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Read reads until the connection is closed at this end.
func (c *connection) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Read(p)
}

// Close ends the connection for its user.
func (c *connection) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	err := c.SetDeadline(time.Now()) // ends reads and writes that are waiting
	c.dialer.group.Go(c.lingerClose)
	return err
}

// lingerTimeout bounds the wait for a backend server that doesn't let go of a connection.
const lingerTimeout = 5 * time.Second

// lingerClose tells the backend server that the connection ends, and waits until it has let go of it.
func (c *connection) lingerClose() {
	defer c.limiter.release()
	defer func() { _ = c.Conn.Close() }()
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}
