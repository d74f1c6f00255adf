package zone_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/zonepb"
)

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener

	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn

	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkHeartbeat measures the bytes of one heartbeat and its reply between nodes with the same records. From these
// it computes the traffic of a zone in which all members send heartbeats to the leader, and of a zone in which all
// members send them to each other.
func BenchmarkHeartbeat(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	loop := board.NewLoop(board.Board{Self: board.Self{Node: "crew-scheduling_1", Zone: "lisbon_1"}})
	group.Go(func() { loop.Run(ctx) })
	controller := zone.NewController(zone.Config{
		Board:       loop,
		Log:         events.NewLog(io.Discard, zerolog.Disabled, "node"),
		Timing:      zone.DefaultTiming,
		Incarnation: uint64(time.Now().UnixNano()),
	})
	mux := drpcmux.New()
	if err := zonepb.DRPCRegisterZone(mux, zone.NewServer(controller)); err != nil {
		b.Fatal(err)
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	listener := &countingListener{Listener: inner}
	group.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
	pool := peer.NewPool(peer.PoolConfig{MaxPerPeer: 1, MaxIdle: time.Minute, DialTimeout: time.Second})
	defer pool.Close()
	client := zone.NewClient(zone.ClientConfig{Pool: pool, Node: "crew-scheduling_2", Zone: "lisbon_1", HeartbeatTimeout: time.Second, Timeout: time.Second})
	reply, err := client.SendHeartbeat(ctx, inner.Addr().String(), zone.Heartbeat{})
	if err != nil {
		b.Fatal(err)
	}
	listener.bytes.Store(0)
	heartbeats := 0
	for b.Loop() {
		if _, err := client.SendHeartbeat(ctx, inner.Addr().String(), zone.Heartbeat{LogID: reply.LogID, LogPosition: reply.NextPosition}); err != nil {
			b.Fatal(err)
		}
		heartbeats++
	}
	bytes := float64(listener.bytes.Load()) / float64(heartbeats)
	b.ReportMetric(bytes, "B/beat")
	for _, members := range []int{12, 24, 48, 72} {
		others := float64(members - 1)
		led := others / membership.HeartbeatPeriod(zone.DefaultTiming.HeartbeatPeriod, members).Seconds()
		each := others / zone.DefaultTiming.HeartbeatPeriod.Seconds()
		b.ReportMetric(led, fmt.Sprintf("beats/s-led-%d", members))
		b.ReportMetric(led*bytes, fmt.Sprintf("B/s-leader-%d", members))
		b.ReportMetric(led*bytes/others, fmt.Sprintf("B/s-follower-%d", members))
		b.ReportMetric(each*float64(members), fmt.Sprintf("beats/s-all-%d", members))
		b.ReportMetric(2*each*bytes, fmt.Sprintf("B/s-each-of-all-%d", members))
	}
}

// BenchmarkMemberChange measures the cost of one changed member among 2,100 members in 29 zones.
func BenchmarkMemberChange(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	loop := board.NewLoop(board.Board{Self: board.Self{Node: "node_0", Zone: "zone_0"}})
	group.Go(func() { loop.Run(ctx) })
	controller := zone.NewController(zone.Config{Board: loop, Timing: zone.DefaultTiming, Incarnation: 1})
	member := func(number int, sequence uint64) membership.Record {
		m := membership.Member{
			Node:        fmt.Sprintf("node_%d", number),
			Zone:        fmt.Sprintf("zone_%d", number%29),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7001", number/250, number%250),
			Service:     fmt.Sprintf("service_%d", number%380),
			Slots:       35,
			State:       membership.Up,
		}
		return m.Record(membership.Version{Epoch: 1, Sequence: sequence})
	}
	var records []membership.Record
	for i := range 2100 {
		records = append(records, member(i, 2))
	}
	controller.Offer(ctx, records...)
	sequence := uint64(4)
	for b.Loop() {
		controller.Offer(ctx, member(7, sequence))
		sequence += 2
	}
}
