package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// acceptCounter counts the connections that were made.
type acceptCounter struct {
	net.Listener

	accepted atomic.Int64
}

func (l *acceptCounter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// refusing refuses every request at once.
type refusing struct{}

func (refusing) Receive(context.Context, *call.Request) call.Reply {
	return call.Refused(call.NotRun, call.ReasonOverload, time.Second)
}

// Pattern: a flood of requests that are refused at once. The context of each ends as soon as its answer is there.
func TestAnsweredCallsKeepTheirConnection(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &acceptCounter{Listener: inner}
	mux := drpcmux.New()
	is.NoErr(peerpb.DRPCRegisterPeer(mux, peer.NewServer(refusing{}, nil, nil)))
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = drpcserver.New(peer.SealHandler(mux, nil)).Serve(ctx, l) })
	pool := peer.NewPool(peer.PoolConfig{MaxPerPeer: 10, MaxIdle: time.Minute, DialTimeout: time.Second, LocalIP: net.IPv4(127, 0, 0, 1)})
	defer pool.Close()
	client := peer.NewClient(pool, "node_1")
	for range 300 {
		one, ended := context.WithCancel(ctx)
		_, err := client.Call(one, inner.Addr().String(), &call.Request{AttemptID: "a", Method: "GET", Path: "/", Deadline: time.Now().Add(time.Second)})
		ended()
		is.NoErr(err)
	}
	is.Equal(l.accepted.Load(), int64(1))
}
