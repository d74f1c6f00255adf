package proxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	network     *Network
	link        link
	client      net.Conn
	silenced    chan struct{}
	closed      chan struct{}
	closeOnce   sync.Once
	silenceOnce sync.Once
}

func newProxiedConn(n *Network, l link, client net.Conn) *proxiedConn {
	return &proxiedConn{network: n, link: l, client: client, silenced: make(chan struct{}), closed: make(chan struct{})}
}

func (c *proxiedConn) silence() {
	c.silenceOnce.Do(func() { close(c.silenced) })
}

func (c *proxiedConn) close() {
	c.closeOnce.Do(func() { close(c.closed) })
}

func (c *proxiedConn) run(ctx context.Context, target string) {
	c.network.addConnection(c)
	defer c.network.removeConnection(c)
	defer func() { _ = c.client.Close() }()
	if !c.awaitUncut(ctx, c.link) {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	var group conc.WaitGroup
	group.Go(func() { c.forward(ctx, c.link, c.client, server) })
	group.Go(func() { c.forward(ctx, link{from: c.link.to, to: c.link.from}, server, c.client) })
	<-c.closed
	_ = c.client.Close()
	_ = server.Close()
	group.Wait()
}

// chunkSize is the maximum number of bytes forwarded at once.
const chunkSize = 32 << 10

func (c *proxiedConn) forward(ctx context.Context, l link, from, to net.Conn) {
	defer c.close()
	buffer := make([]byte, chunkSize)
	var forwarded int64
	for {
		count, err := from.Read(buffer)
		if count > 0 && !c.forwardChunk(ctx, l, to, buffer[:count], &forwarded) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forwardChunk writes one chunk, changed as the fault requires, and reports whether the connection stays open.
func (c *proxiedConn) forwardChunk(ctx context.Context, l link, to net.Conn, chunk []byte, forwarded *int64) bool {
	if !c.awaitUncut(ctx, l) {
		return false
	}
	f := c.network.faultForChunk(l, len(chunk))
	if !c.pause(ctx, c.network.delayFor(f)) {
		return false
	}
	if f.Corrupt {
		chunk[len(chunk)/2] ^= 1
	}
	if f.CorruptRandomly {
		c.network.flipRandomBit(chunk)
	}
	if f.SwapChunks {
		chunk = c.network.swapChunk(l, chunk)
	}
	if f.Duplicate {
		chunk = slices.Repeat(chunk, 2)
	}
	if remaining := f.TruncateAfter - *forwarded; f.TruncateAfter > 0 && int64(len(chunk)) > remaining {
		_, _ = to.Write(chunk[:max(remaining, 0)])
		return false
	}
	*forwarded += int64(len(chunk))
	c.network.countTraffic(l, len(chunk))
	_, err := to.Write(chunk)
	return err == nil
}

// awaitUncut waits while the link is cut, and until the connection closes if it is silenced. It reports whether bytes
// may pass.
func (c *proxiedConn) awaitUncut(ctx context.Context, l link) bool {
	for {
		f, changed := c.network.fault(l)
		select {
		case <-c.silenced:
			changed = nil
		default:
			if !f.Cut {
				return true
			}
		}
		select {
		case <-changed:
		case <-c.silenced:
			select {
			case <-ctx.Done():
			case <-c.closed:
			}
			return false
		case <-c.closed:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (c *proxiedConn) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	case <-ctx.Done():
		return false
	}
}
