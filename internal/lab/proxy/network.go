// Package proxy is a fault-injecting TCP proxy. A Network connects named endpoints. Each endpoint listens behind its
// own proxy and dials from its own IP, so that faults can be set for each pair of endpoints and each direction.
//
// # Usage
//
//	network := proxy.NewNetwork(1)
//	network.RegisterIP("127.1.0.1", "access_0")
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

// Fault describes what happens to the bytes from one endpoint to another.
type Fault struct {
	// Cut holds all bytes back until the fault is removed, as a network partition does.
	Cut bool
	// Delay delays each chunk.
	Delay time.Duration
	// Jitter is the upper limit of a random delay that is added to Delay.
	Jitter time.Duration
	// TruncateAfter closes the connection after this many bytes; 0 for never.
	TruncateAfter int64
	// Corrupt flips a bit in the middle of every chunk.
	Corrupt bool
	// CorruptRandomly flips a bit at a random position of every chunk.
	CorruptRandomly bool
	// Duplicate forwards every chunk twice.
	Duplicate bool
	// SwapChunks exchanges chunks between connections that carry bytes at the same time.
	SwapChunks bool
	// MinChunkSize is the size in bytes below which chunks are exempt from TruncateAfter, Corrupt, CorruptRandomly,
	// Duplicate and SwapChunks.
	MinChunkSize int
	// MaxDamagedChunks limits the number of chunks that are damaged in total; 0 for no limit.
	MaxDamagedChunks int
}

// withoutDamage returns the fault without the effects that change the bytes.
func (f Fault) withoutDamage() Fault {
	return Fault{Cut: f.Cut, Delay: f.Delay, Jitter: f.Jitter}
}

// link is one direction between two endpoints.
type link struct {
	from string
	to   string
}

// Network holds the proxies and the faults between the endpoints.
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
	// damaged counts the chunks that the current fault of each link has damaged.
	damaged map[link]int
}

// Traffic counts what was forwarded from one endpoint to another.
type Traffic struct {
	Bytes int64
	// Chunks counts the reads from the network. For small messages it is close to the number of messages.
	Chunks int64
}

// NewNetwork returns a network without faults. The seed determines the random delays and bit positions.
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

// RegisterIP sets the name of the endpoint that dials from the IP.
func (n *Network) RegisterIP(ip, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[ip] = name
}

// Set sets the fault of the bytes from one endpoint to another, in that direction only.
func (n *Network) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[link{from, to}] = f
	n.damaged[link{from, to}] = 0
	n.notifyChange()
}

// SetBoth sets the fault for both directions between every endpoint of one group and every endpoint of the other.
func (n *Network) SetBoth(group, other []string, f Fault) {
	for _, a := range group {
		for _, b := range other {
			n.Set(a, b, f)
			n.Set(b, a, f)
		}
	}
}

// Clear removes all faults. Connections that were silenced stay silent.
func (n *Network) Clear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = map[link]Fault{}
	n.notifyChange()
}

// SilenceOpen silences the open connections from one endpoint to another permanently and returns their number. New
// connections work.
func (n *Network) SilenceOpen(from, to string) int {
	return n.forEachConnection(from, to, func(c *proxiedConn) { c.silence() })
}

// ResetOpen closes the open connections from one endpoint to another and returns their number.
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

// Listen starts a proxy that forwards connections to the target, which is the endpoint with the given name. It returns
// the address of the proxy.
func (n *Network) Listen(ctx context.Context, name, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	n.group.Go(func() { n.accept(ctx, listener, name, target) })
	return listener.Addr().String(), nil
}

// Traffic returns what was forwarded between endpoints so far, by the name of the sender and then of the receiver.
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

// Wait waits until all proxies have ended. A proxy ends after the context of its Listen call.
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

// fault returns the current fault of the link and a channel that is closed when faults change.
func (n *Network) fault(l link) (Fault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[l], n.changed
}

// faultForChunk returns the fault to apply to a chunk of the given size, and counts the chunk as damaged unless it is
// exempt.
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

// swapTimeout is how long a chunk waits for a chunk of another connection.
const swapTimeout = 20 * time.Millisecond

// swapChunk exchanges the chunk for one of another connection of the link. It returns the chunk itself
// if no other chunk arrives within swapTimeout.
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
