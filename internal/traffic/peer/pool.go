package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// MaxPerPeer is the maximum number of pooled connections to one node.
	MaxPerPeer int
	// MaxIdle is how long a connection may be idle before it is closed instead of reused.
	MaxIdle     time.Duration
	DialTimeout time.Duration
	// LocalIP is the local IP of outgoing connections; nil for any.
	LocalIP net.IP
	// Compressor compresses messages; nil disables compression.
	Compressor *Compressor
	// MaxMessage is the maximum size of a message in bytes; 0 for the default of DRPC.
	MaxMessage int
}

// Pool keeps DRPC connections to other nodes. A connection carries one RPC at a time.
type Pool struct {
	config       PoolConfig
	largeReplies *largeReplies

	mu    sync.Mutex
	peers map[string]*peerConns
}

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, largeReplies: newLargeReplies(), peers: map[string]*peerConns{}}
}

// peerConns holds the pooled connections to one node.
type peerConns struct {
	// idle holds the connections that aren't in use, the most recently used one last.
	idle []idleConn
	// open is the number of connections, idle or in use.
	open int
}

// prune closes the connections that have been idle for at least maxIdle. The most recently used connection is always
// reused first, so that without pruning the others would stay open forever.
func (c *peerConns) prune(now time.Time, maxIdle time.Duration) {
	expired := 0
	for expired < len(c.idle) && now.Sub(c.idle[expired].since) >= maxIdle {
		_ = c.idle[expired].conn.Close()
		expired++
	}
	c.open -= expired
	c.idle = slices.Delete(c.idle, 0, expired)
}

func (c *peerConns) closeIdle() {
	for _, i := range c.idle {
		_ = i.conn.Close()
	}
	c.open -= len(c.idle)
	c.idle = nil
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// rankReserveRatio is the ratio of the connections to one node that each rank leaves to the next more urgent one.
const rankReserveRatio = 0.05

// maxInUse returns the number of connections in use to one node from which a request of the rank gets no further one.
// Less urgent ranks have a lower limit, so that a flood of their requests leaves connections for more urgent ones.
func (p *Pool) maxInUse(rank int) int {
	return max(int(float64(p.config.MaxPerPeer)*(1-rankReserveRatio*float64(rank))), 1)
}

// errTooManyConnections is returned when the limit on connections to one node is reached.
var errTooManyConnections = trace.LimitExceeded("too many connections to the node")

// Use runs f on a pooled connection to the address. The connection is returned to the pool only if f succeeds.
func (p *Pool) Use(ctx context.Context, address string, f func(drpc.Conn) error) error {
	return p.UseFor(ctx, UseOptions{Address: address}, f)
}

// UseOptions describes the use of a connection.
type UseOptions struct {
	Address string
	// Rank is the rank of the request. Less urgent ranks may use fewer connections.
	Rank int
	// Compress reports whether the messages are sent compressed.
	Compress bool
}

// UseFor is like Use, with options.
func (p *Pool) UseFor(ctx context.Context, u UseOptions, f func(drpc.Conn) error) error {
	conn, err := p.take(ctx, u.Address, u.Rank)
	if err != nil {
		return err
	}
	return p.run(u, conn, f)
}

// UseNew runs f on a new connection outside the pool, which is closed afterwards. It serves for queries about attempts
// whose reply was lost on an older connection.
func (p *Pool) UseNew(ctx context.Context, address string, f func(drpc.Conn) error) error {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return f(encodedConn{Conn: conn, compressor: p.config.Compressor})
}

// errNoRecentConnection is returned when no idle connection was used recently enough.
var errNoRecentConnection = trace.NotFound("no idle connection to the node was used recently")

// UseRecent runs f on an idle connection on which an RPC succeeded within the duration, or returns errNoRecentConnection.
func (p *Pool) UseRecent(address string, within time.Duration, f func(drpc.Conn) error) error {
	conn := p.takeRecent(address, within)
	if conn == nil {
		return errNoRecentConnection
	}
	return p.run(UseOptions{Address: address}, conn, f)
}

func (p *Pool) takeRecent(address string, within time.Duration) *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peer(address)
	last := len(peer.idle) - 1
	if last < 0 || time.Since(peer.idle[last].since) > within || isClosed(peer.idle[last].conn) {
		return nil
	}
	conn := peer.idle[last].conn
	peer.idle = peer.idle[:last]
	return conn
}

// CloseIdle closes the idle connections to a node that stopped replying, so that none of them is reused.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer(address).closeIdle()
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		peer.closeIdle()
	}
}

// OpenCounts returns the number of pooled connections to each address.
func (p *Pool) OpenCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make(map[string]int, len(p.peers))
	for address, peer := range p.peers {
		open[address] = peer.open
	}
	return open
}

func (p *Pool) run(u UseOptions, conn *drpcconn.Conn, f func(drpc.Conn) error) error {
	err := f(encodedConn{Conn: conn, compressor: p.config.Compressor, compress: u.Compress})
	if err != nil || isClosed(conn) {
		_ = conn.Close()
		p.releaseConn(u.Address)
		return err
	}
	p.put(u.Address, conn)
	return nil
}

func (p *Pool) take(ctx context.Context, address string, rank int) (*drpcconn.Conn, error) {
	conn, err := p.takeIdle(address, rank, time.Now())
	if conn != nil || err != nil {
		return conn, err
	}
	conn, err = p.dial(ctx, address)
	if err != nil {
		p.releaseConn(address)
		return nil, err
	}
	return conn, nil
}

// takeIdle returns the most recently used idle connection. If there is none, it returns nil and counts a new connection
// as open, which the caller of takeIdle then opens.
func (p *Pool) takeIdle(address string, rank int, now time.Time) (*drpcconn.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peer(address)
	if peer.open-len(peer.idle) >= p.maxInUse(rank) {
		return nil, errTooManyConnections
	}
	for len(peer.idle) > 0 {
		last := len(peer.idle) - 1
		i := peer.idle[last]
		peer.idle = peer.idle[:last]
		if now.Sub(i.since) < p.config.MaxIdle && !isClosed(i.conn) {
			return i.conn, nil
		}
		_ = i.conn.Close()
		peer.open--
	}
	peer.open++
	return nil, nil
}

func (p *Pool) put(address string, conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peer(address)
	now := time.Now()
	peer.prune(now, p.config.MaxIdle)
	peer.idle = append(peer.idle, idleConn{conn: conn, since: now})
}

// releaseConn removes a connection that was closed or couldn't be opened from the count.
func (p *Pool) releaseConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peer(address)
	peer.open--
	if peer.open == 0 {
		delete(p.peers, address)
	}
}

// peer returns the connections to a node. When a node is added, those that are gone are removed.
func (p *Pool) peer(address string) *peerConns {
	peer, ok := p.peers[address]
	if !ok {
		p.removeUnused(time.Now())
		peer = &peerConns{}
		p.peers[address] = peer
	}
	return peer
}

// removeUnused closes the connections that have been idle for at least MaxIdle, and removes the nodes without any.
func (p *Pool) removeUnused(now time.Time) {
	for address, peer := range p.peers {
		peer.prune(now, p.config.MaxIdle)
		if peer.open == 0 {
			delete(p.peers, address)
		}
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: p.config.DialTimeout, LocalAddr: &net.TCPAddr{IP: p.config.LocalIP}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dial %s: %v", address, err)
	}
	limiter := newReplyLimiter(&closeDelayer{Conn: conn}, p.largeReplies)
	return drpcconn.NewWithOptions(limiter, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: p.config.MaxMessage},
	}}), nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}
