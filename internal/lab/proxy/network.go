// Package proxy is a fault-injecting TCP proxy. A Network stands between named ends: each end listens behind a
// proxy of its own, and dials from an IP of its own, so that faults can be set for each pair and direction.
//
// # Usage
//
//	network := proxy.NewNetwork(1)
//	network.Name("127.1.0.1", "access_0")
//	address, err := network.Listen(ctx, "access_1", target)
//	network.Set("access_0", "access_1", proxy.Fault{Cut: true})
//	network.SilenceOpen("access_0", "access_1")
package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
)

// Fault is what happens to the bytes from one end to another.
type Fault struct {
	// Cut holds all bytes back until the fault is taken away, as a partition does.
	Cut bool
	// Delay holds each chunk of bytes back.
	Delay time.Duration
	// Jitter adds a random delay of up to this much.
	Jitter time.Duration
	// TruncateAfter closes the connection after so many bytes; 0 for never.
	TruncateAfter int64
	// Corrupt flips a bit in the middle of every chunk.
	Corrupt bool
	// CorruptRandomly flips a bit at a random place of every chunk.
	CorruptRandomly bool
	// Duplicate passes every chunk on twice.
	Duplicate bool
	// SwapChunks exchanges chunks between the connections that carry bytes at the same time.
	SwapChunks bool
	// MinChunkSize spares chunks of fewer bytes from damage: from TruncateAfter, Corrupt, Scatter, Duplicate and Cross.
	MinChunkSize int
	// MaxDamagedChunks is how many chunks are damaged in all; 0 for no bound.
	MaxDamagedChunks int
}

// withoutDamage returns the fault as it is for chunks that are spared.
func (f Fault) withoutDamage() Fault {
	return Fault{Cut: f.Cut, Delay: f.Delay, Jitter: f.Jitter}
}

type link struct {
	from string
	to   string
}

// Network holds the proxies and the faults between them.
type Network struct {
	group conc.WaitGroup

	mu           sync.Mutex
	random       *rand.Rand
	names        map[string]string
	faults       map[link]Fault
	changed      chan struct{}
	connections  map[*proxiedConn]bool
	swapChannels map[link]chan []byte
	traffic      map[link]*Traffic
	// damaged counts the chunks that the fault in force has damaged.
	damaged map[link]int
}

// Traffic is what has passed from one end to another.
type Traffic struct {
	Bytes int64
	// Chunks are reads from the network, which come close to messages where these are small.
	Chunks int64
}

// NewNetwork returns a network without faults. The seed drives its random delays.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:       rand.New(rand.NewPCG(seed, seed)),
		names:        map[string]string{},
		faults:       map[link]Fault{},
		changed:      make(chan struct{}),
		connections:  map[*proxiedConn]bool{},
		swapChannels: map[link]chan []byte{},
		traffic:      map[link]*Traffic{},
		damaged:      map[link]int{},
	}
}

// RegisterIP says which end dials from the IP.
func (n *Network) RegisterIP(ip, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[ip] = name
}

// Set puts a fault on the bytes from one end to the other, in that direction only.
func (n *Network) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[link{from, to}] = f
	n.damaged[link{from, to}] = 0
	n.notifyChange()
}

// SetBoth puts a fault on both directions between every end of one group and every end of the other.
func (n *Network) SetBoth(group, other []string, f Fault) {
	for _, a := range group {
		for _, b := range other {
			n.Set(a, b, f)
			n.Set(b, a, f)
		}
	}
}

// Clear takes all faults away. Connections that were silenced stay silent.
func (n *Network) Clear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[link]Fault{}
	n.notifyChange()
}

// SilenceOpen makes the open connections from one end to the other silent for good. New ones work.
func (n *Network) SilenceOpen(from, to string) int {
	return n.forEachConnection(from, to, func(c *proxiedConn) { c.silence() })
}

// ResetOpen closes the open connections from one end to the other.
func (n *Network) ResetOpen(from, to string) int {
	return n.forEachConnection(from, to, func(c *proxiedConn) { c.close() })
}

func (n *Network) forEachConnection(from, to string, f func(*proxiedConn)) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.connections {
		if c.link == (link{from, to}) {
			f(c)
			count++
		}
	}
	return count
}

// Listen passes connections on to the target, which is the end of the given name, and returns where it listens.
func (n *Network) Listen(ctx context.Context, name, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	n.group.Go(func() { n.accept(ctx, listener, name, target) })
	return listener.Addr().String(), nil
}

// Traffic returns what has passed from one end to another so far, by the names of both.
func (n *Network) Traffic() map[string]map[string]Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	traffic := map[string]map[string]Traffic{}
	for l, t := range n.traffic {
		if traffic[l.from] == nil {
			traffic[l.from] = map[string]Traffic{}
		}
		traffic[l.from][l.to] = *t
	}
	return traffic
}

func (n *Network) countTraffic(l link, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.traffic[l]
	if !ok {
		t = &Traffic{}
		n.traffic[l] = t
	}
	t.Bytes += int64(bytes)
	t.Chunks++
}

// Wait returns when all proxies have ended, after their contexts did.
func (n *Network) Wait() {
	n.group.Wait()
}

func (n *Network) accept(ctx context.Context, listener net.Listener, name, target string) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := newProxiedConn(n, link{from: n.nameOf(conn), to: name}, conn)
		group.Go(func() { c.run(ctx, target) })
	}
}

func (n *Network) nameOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.names[host]
}

func (n *Network) addConnection(c *proxiedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections[c] = true
}

func (n *Network) removeConnection(c *proxiedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, c)
}

// fault returns the fault in force and a channel that closes when faults change.
func (n *Network) fault(l link) (Fault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[l], n.changed
}

// faultForChunk returns the fault in force for a chunk of so many bytes.
func (n *Network) faultForChunk(l link, bytes int) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.faults[l]
	if bytes < f.MinChunkSize || f.MaxDamagedChunks > 0 && n.damaged[l] >= f.MaxDamagedChunks {
		return f.withoutDamage()
	}
	n.damaged[l]++
	return f
}

func (n *Network) flipRandomBit(chunk []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	chunk[n.random.IntN(len(chunk))] ^= 1 << n.random.IntN(bitsPerByte)
}

const bitsPerByte = 8

func (n *Network) delayFor(f Fault) time.Duration {
	if f.Jitter <= 0 {
		return f.Delay
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return f.Delay + time.Duration(n.random.Int64N(int64(f.Jitter)))
}

// swapTimeout is how long a chunk waits for another connection's.
const swapTimeout = 20 * time.Millisecond

// swapChunk returns the chunk of another connection of the link, which gets this one, or this one where none comes.
func (n *Network) swapChunk(l link, chunk []byte) []byte {
	copied := slices.Clone(chunk)
	channel := n.swapChannel(l)
	timer := time.NewTimer(swapTimeout)
	defer timer.Stop()
	select {
	case other := <-channel:
		channel <- copied
		return other
	case channel <- copied:
		return <-channel
	case <-timer.C:
		return copied
	}
}

func (n *Network) swapChannel(l link) chan []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.swapChannels[l] == nil {
		n.swapChannels[l] = make(chan []byte)
	}
	return n.swapChannels[l]
}

func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}
