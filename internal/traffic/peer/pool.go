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
)

// PoolConfig sets a Pool up.
type PoolConfig struct {
	// MaxPerPeer bounds the connections to one node.
	MaxPerPeer int
	// MaxIdle is how long an unused connection is trusted.
	MaxIdle     time.Duration
	DialTimeout time.Duration
	// LocalIP is the IP to connect from; nil for any.
	LocalIP net.IP
	// Compressor makes messages small; nil for none.
	Compressor *Compressor
}

// Pool keeps drpc connections to other nodes. A connection carries one RPC at a time.
type Pool struct {
	config PoolConfig

	mu    sync.Mutex
	peers map[string]*peerConns
}

// NewPool returns an empty pool.
func NewPool(config PoolConfig) *Pool {
	return &Pool{config: config, peers: map[string]*peerConns{}}
}

type peerConns struct {
	idle []idleConn
	open int
}

// prune closes the connections that have been idle for longer than the time. Those used last are used first, so the others
// would stay for good.
func (c *peerConns) prune(now time.Time, maxIdle time.Duration) {
	kept := 0
	for kept < len(c.idle) && now.Sub(c.idle[kept].since) >= maxIdle {
		_ = c.idle[kept].conn.Close()
		kept++
	}
	c.open -= kept
	c.idle = slices.Delete(c.idle, 0, kept)
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

// rankReserveRatio is the part of the connections to one node that each rank leaves to more urgent ones.
const rankReserveRatio = 0.05

// maxInUse returns how many connections to one node may be in use for a request of the rank to take a further one, so
// that a flood of less urgent requests leaves some to the urgent.
func (p *Pool) maxInUse(rank int) int {
	return max(int(float64(p.config.MaxPerPeer)*(1-rankReserveRatio*float64(rank))), 1)
}

// errTooManyConnections says that the bound of connections to one node is reached.
var errTooManyConnections = trace.LimitExceeded("too many connections to the node")

// Use runs f on a connection to the address. The connection is kept for later use only if f succeeds.
func (p *Pool) Use(ctx context.Context, address string, f func(drpc.Conn) error) error {
	return p.UseFor(ctx, UseOptions{Address: address}, f)
}

// UseOptions says what a connection is for.
type UseOptions struct {
	Address string
	// Rank is that of the request. Less urgent ranks may use fewer connections.
	Rank int
	// Compress says that the messages are to be packed.
	Compress bool
}

// UseFor is Use for a request.
func (p *Pool) UseFor(ctx context.Context, u UseOptions, f func(drpc.Conn) error) error {
	conn, err := p.take(ctx, u.Address, u.Rank)
	if err != nil {
		return err
	}
	return p.run(u, conn, f)
}

// UseNew runs f on a connection that is made for it, for what an older connection left open.
func (p *Pool) UseNew(ctx context.Context, address string, f func(drpc.Conn) error) error {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return f(encodedConn{Conn: conn, compressor: p.config.Compressor})
}

// errNoRecentConnection says that no idle connection was used lately.
var errNoRecentConnection = trace.NotFound("no connection to the node was used lately")

// UseRecent runs f on an idle connection on which an RPC succeeded within the time, or returns errNoRecent.
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

// CloseIdle closes the idle connections to a node that was found silent, so that none of them is trusted again.
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

// takeIdle returns the idle connection used last, or nil with a place reserved for a new one.
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

func (p *Pool) releaseConn(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer(address).open--
}

func (p *Pool) peer(address string) *peerConns {
	peer, ok := p.peers[address]
	if !ok {
		peer = &peerConns{}
		p.peers[address] = peer
	}
	return peer
}

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: p.config.DialTimeout, LocalAddr: &net.TCPAddr{IP: p.config.LocalIP}}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "dial %s: %v", address, err)
	}
	return drpcconn.New(&closeDelayer{Conn: conn}), nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}
