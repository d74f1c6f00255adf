package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// countingListener counts the accepted connections and the reads on them that returned data.
type countingListener struct {
	net.Listener

	accepted atomic.Int64
	reads    atomic.Int64
	// silent discards the data received on connections that were accepted before it was set.
	silent atomic.Bool
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &countingConn{Conn: conn, listener: l, afterSilence: l.silent.Load()}, nil
}

// countingConn counts the reads that returned data.
type countingConn struct {
	net.Conn

	listener     *countingListener
	afterSilence bool
}

func (c *countingConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.listener.reads.Add(1)
		}
		if err != nil || c.afterSilence || !c.listener.silent.Load() {
			return n, err
		}
	}
}

// receiverFunc is a Receiver that replies with the result of the function.
type receiverFunc func(r *call.Request) call.Reply

func (f receiverFunc) Receive(_ context.Context, r *call.Request) call.Reply {
	return f(r)
}

// runningStore is an OutcomeStore that reports every attempt as running.
type runningStore struct{}

func (runningStore) Resolve(peer.ResolveQuery) peer.Resolution {
	return peer.Resolution{Known: true, State: outcome.Running}
}

func (runningStore) TakeOver(context.Context, peer.HandoverPart) (bool, error) {
	return false, nil
}

// TestQueriesReuseRecentConnections guards against opening a connection for each query about a slow reply, which one
// reply in ten may be. A query uses a recently used connection, and a new one only if there is none.
func TestQueriesReuseRecentConnections(t *testing.T) {
	for name, test := range map[string]struct {
		calls int
		// connections is the number of connections that were accepted after ten queries.
		connections int64
	}{
		"after calls": {3, 1},
		"before any":  {0, 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &countingListener{}
			refuse := receiverFunc(func(*call.Request) call.Reply { return call.Refused(call.NotRun, call.ReasonOverload, time.Second) })
			client, _, address := startNode(t, refuse, time.Minute, l)
			for range test.calls {
				sendCall(t, client, address, 0)
			}
			for range 10 {
				resolution, err := client.Resolve(t.Context(), address, peer.ResolveQuery{AttemptID: "a"}, time.Second)
				is.NoErr(err)
				is.Equal(resolution.State, outcome.Running)
			}
			is.Equal(l.accepted.Load(), test.connections)
		})
	}
}

// TestQueryAfterSilentConnection checks that a query that gets no reply on a pooled connection, because it went silent,
// is sent again on a new connection and answered.
func TestQueryAfterSilentConnection(t *testing.T) {
	is := is.New(t)
	l := &countingListener{}
	refuse := receiverFunc(func(*call.Request) call.Reply { return call.Refused(call.NotRun, call.ReasonOverload, time.Second) })
	client, _, address := startNode(t, refuse, time.Minute, l)
	sendCall(t, client, address, 0)
	l.silent.Store(true)
	begin := time.Now()
	resolution, err := client.Resolve(t.Context(), address, peer.ResolveQuery{AttemptID: "a"}, time.Second)
	is.NoErr(err)
	is.Equal(resolution.State, outcome.Running)
	is.True(time.Since(begin) < 500*time.Millisecond)
}

// startNode starts a node that passes requests to the receiver, and returns a client of it, the client's pool and the
// node's address. The counter, if not nil, counts the node's connections.
func startNode(t *testing.T, receiver peer.Receiver, maxIdle time.Duration, counter *countingListener) (*peer.Client, *peer.Pool, string) {
	return startServer(t, peer.NewServer(peer.ServerConfig{Receiver: receiver, Outcomes: runningStore{}}), maxIdle, counter)
}

// startServer is like startNode, for a server of the test.
func startServer(t *testing.T, server peerpb.DRPCPeerServer, maxIdle time.Duration, counter *countingListener) (*peer.Client, *peer.Pool, string) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	if counter != nil {
		counter.Listener, l = l, counter
	}
	mux := drpcmux.New()
	is.NoErr(peerpb.DRPCRegisterPeer(mux, server))
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = drpcserver.New(peer.NewHandler(mux, nil)).Serve(ctx, l) })
	pool := peer.NewPool(peer.PoolConfig{MaxPerPeer: 30, MaxIdle: maxIdle, DialTimeout: time.Second, LocalIP: net.IPv4(127, 0, 0, 1)})
	t.Cleanup(func() {
		pool.Close()
		cancel()
		group.Wait()
	})
	return peer.NewClient(peer.ClientConfig{Pool: pool, Node: "node_1"}), pool, address
}

// sendCall sends one request, whose context ends as soon as the reply has arrived.
func sendCall(t *testing.T, client *peer.Client, address string, depth int) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, err := client.Call(ctx, address, &call.Request{
		AttemptID: "a", Service: "keys", Kind: "keys", Method: "GET", Path: "/", Depth: depth, Deadline: time.Now().Add(time.Second),
	})
	is.New(t).NoErr(err)
}

// TestAnsweredCallsKeepConnection guards against closing the connection of a call whose context ends as soon as the
// reply has arrived. A flood of requests that are refused immediately would then open a connection for each.
func TestAnsweredCallsKeepConnection(t *testing.T) {
	is := is.New(t)
	l := &countingListener{}
	refuse := receiverFunc(func(*call.Request) call.Reply { return call.Refused(call.NotRun, call.ReasonOverload, time.Second) })
	client, _, address := startNode(t, refuse, time.Minute, l)
	for range 300 {
		sendCall(t, client, address, 0)
	}
	is.Equal(l.accepted.Load(), int64(1))
}

// TestOneReadPerCall guards against a second wake-up of the node for the close frame of each call, which costs much at
// thousands of short calls per second to the deepest service. The close frame must arrive together with the next request.
func TestOneReadPerCall(t *testing.T) {
	is := is.New(t)
	l := &countingListener{}
	refuse := receiverFunc(func(*call.Request) call.Reply { return call.Refused(call.NotRun, call.ReasonOverload, time.Second) })
	client, _, address := startNode(t, refuse, time.Minute, l)
	const calls = 100
	for range calls {
		sendCall(t, client, address, 0)
	}
	is.True(l.reads.Load() <= calls+1)
}

// TestBurstConnectionsAreClosed guards against keeping the connections of a burst open while later load uses only a few
// of the connections to the node.
func TestBurstConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	const burst, maxIdle = 20, 100 * time.Millisecond
	var allArrived sync.WaitGroup
	allArrived.Add(burst)
	client, pool, address := startNode(t, receiverFunc(func(r *call.Request) call.Reply {
		if r.Depth == 0 { // a request of the burst
			allArrived.Done()
			allArrived.Wait()
		}
		return call.Refused(call.NotRun, call.ReasonOverload, time.Second)
	}), maxIdle, nil)
	var group conc.WaitGroup
	for range burst {
		group.Go(func() { sendCall(t, client, address, 0) })
	}
	group.Wait()
	is.Equal(pool.OpenCounts()[address], burst)
	for begin := time.Now(); time.Since(begin) < 2*maxIdle; time.Sleep(maxIdle / 10) {
		sendCall(t, client, address, 1)
	}
	is.Equal(pool.OpenCounts()[address], 1)
}

// Guards against memory that grows with every node that was ever called, in a fleet that replaces its nodes.
func TestPoolForgetsNodesThatAreGone(t *testing.T) {
	is := is.New(t)
	const maxIdle = 50 * time.Millisecond
	refuse := receiverFunc(func(*call.Request) call.Reply { return call.Refused(call.NotRun, call.ReasonOverload, time.Second) })
	pool := peer.NewPool(peer.PoolConfig{MaxPerPeer: 30, MaxIdle: maxIdle, DialTimeout: time.Second})
	defer pool.Close()
	client := peer.NewClient(peer.ClientConfig{Pool: pool, Node: "node_1"})
	for range 5 {
		_, _, address := startNode(t, refuse, time.Minute, nil)
		sendCall(t, client, address, 0)
		time.Sleep(2 * maxIdle)
	}
	is.Equal(len(pool.OpenCounts()), 1)
	_, err := client.Call(t.Context(), "127.0.0.1:1", &call.Request{AttemptID: "a", Deadline: time.Now().Add(time.Second)})
	is.True(err != nil)
	is.Equal(len(pool.OpenCounts()), 0) // the idle one has expired, and the other has no connection
}
