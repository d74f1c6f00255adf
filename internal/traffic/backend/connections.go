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
	most    int
	address string
	count   *connectionCount
}

// connectionCount is the connections to one backend server.
type connectionCount struct {
	mu   sync.Mutex
	most int
	open int
	// changed closes when there may be room.
	changed chan struct{}
}

func newConnectionCount(most int) *connectionCount {
	return &connectionCount{most: most, changed: make(chan struct{})}
}

// setMost bounds the connections from now on. Those that are open stay.
func (d *dialer) setMost(most int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = most
	if d.count != nil {
		d.count.update(func(c *connectionCount) { c.most = most })
	}
}

// countFor returns the count of the backend server at the address. One at another address counts anew.
func (d *dialer) countFor(address string) *connectionCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.count == nil || d.address != address {
		d.address, d.count = address, newConnectionCount(d.most)
	}
	return d.count
}

// dial waits until there is room for one more connection and makes it.
func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	count := d.countFor(address)
	if err := count.take(ctx); err != nil {
		return nil, err
	}
	var plain net.Dialer
	conn, err := plain.DialContext(ctx, network, address)
	if err != nil {
		count.free()
		return nil, err
	}
	return &connection{Conn: conn, dialer: d, count: count}, nil
}

func (c *connectionCount) take(ctx context.Context) error {
	for {
		changed, ok := c.tryTake()
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

func (c *connectionCount) tryTake() (<-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.most {
		return c.changed, false
	}
	c.open++
	return nil, true
}

func (c *connectionCount) free() {
	c.update(func(c *connectionCount) { c.open-- })
}

func (c *connectionCount) update(change func(*connectionCount)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
	close(c.changed)
	c.changed = make(chan struct{})
}

// connection is one to the backend server. Closing it returns at once, but it counts until the other end is closed.
type connection struct {
	net.Conn
	dialer *dialer
	count  *connectionCount

	closed atomic.Bool
	// reading is held while bytes are read, so that only one of the user and part reads.
	reading sync.Mutex
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
	c.reading.Lock()
	defer c.reading.Unlock()
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
	c.dialer.group.Go(c.part)
	return err
}

// partTimeout bounds the wait for a backend server that doesn't let go of a connection.
const partTimeout = 5 * time.Second

// part tells the backend server that the connection ends, and waits until it has let go of it.
func (c *connection) part() {
	defer c.count.free()
	defer func() { _ = c.Conn.Close() }()
	c.reading.Lock()
	defer c.reading.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	if c.SetReadDeadline(time.Now().Add(partTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}
