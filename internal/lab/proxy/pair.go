package proxy

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// pair is one connection through the proxy.
type pair struct {
	network  *Network
	link     link
	client   net.Conn
	silenced chan struct{}
	closed   chan struct{}
	once     sync.Once
	quiet    sync.Once
}

func newPair(n *Network, l link, client net.Conn) *pair {
	return &pair{network: n, link: l, client: client, silenced: make(chan struct{}), closed: make(chan struct{})}
}

func (p *pair) silence() {
	p.quiet.Do(func() { close(p.silenced) })
}

func (p *pair) close() {
	p.once.Do(func() { close(p.closed) })
}

func (p *pair) run(ctx context.Context, target string) {
	p.network.add(p)
	defer p.network.remove(p)
	defer func() { _ = p.client.Close() }()
	if !p.passes(ctx, p.link) {
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	var group conc.WaitGroup
	group.Go(func() { p.pump(ctx, p.link, p.client, server) })
	group.Go(func() { p.pump(ctx, link{from: p.link.to, to: p.link.from}, server, p.client) })
	<-p.closed
	_ = p.client.Close()
	_ = server.Close()
	group.Wait()
}

// chunkSize is the most bytes that are passed on at once.
const chunkSize = 32 << 10

func (p *pair) pump(ctx context.Context, l link, from, to net.Conn) {
	defer p.close()
	buffer := make([]byte, chunkSize)
	var passed int64
	for {
		count, err := from.Read(buffer)
		if count > 0 && !p.pass(ctx, l, to, buffer[:count], &passed) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass writes one chunk as the fault in force says, and reports whether the connection goes on.
func (p *pair) pass(ctx context.Context, l link, to net.Conn, chunk []byte, passed *int64) bool {
	if !p.passes(ctx, l) {
		return false
	}
	f := p.network.strike(l, len(chunk))
	if !p.pause(ctx, p.network.jitter(f)) {
		return false
	}
	if f.Corrupt {
		chunk[len(chunk)/2] ^= 1
	}
	if f.Scatter {
		p.network.flipAnywhere(chunk)
	}
	if f.Cross {
		chunk = p.network.cross(l, chunk)
	}
	if f.Duplicate {
		chunk = slices.Repeat(chunk, 2)
	}
	if left := f.TruncateAfter - *passed; f.TruncateAfter > 0 && int64(len(chunk)) > left {
		_, _ = to.Write(chunk[:max(left, 0)])
		return false
	}
	*passed += int64(len(chunk))
	p.network.count(l, len(chunk))
	_, err := to.Write(chunk)
	return err == nil
}

// passes waits while the link is cut, for good where the connection is silenced.
func (p *pair) passes(ctx context.Context, l link) bool {
	for {
		f, changed := p.network.fault(l)
		select {
		case <-p.silenced:
			changed = nil
		default:
			if !f.Cut {
				return true
			}
		}
		select {
		case <-changed:
		case <-p.silenced:
			select {
			case <-ctx.Done():
			case <-p.closed:
			}
			return false
		case <-p.closed:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (p *pair) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.closed:
		return false
	case <-ctx.Done():
		return false
	}
}
