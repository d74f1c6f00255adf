package peer_test

import (
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcwire"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// Guards against a node that runs out of memory because what answers at the address of another node sends bytes without end:
// all requests must fail, and their connections must be closed.
func TestEndlessRepliesNeedLittleMemory(t *testing.T) {
	const requests, memory = 64, 184 << 20
	previous := debug.SetMemoryLimit(memory * 60 / 100) // as a node sets it
	defer debug.SetMemoryLimit(previous)
	block := []byte(strings.Repeat("x", 16<<10))
	frame := drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Data: block}
	longFrame := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: frame.ID, Kind: frame.Kind, Data: make([]byte, 64<<20)})
	for name, test := range map[string]struct{ begin, repeated []byte }{
		"not a message":          {nil, block},
		"message without end":    {nil, drpcwire.AppendFrame(nil, frame)},
		"frame that is too long": {longFrame[:32], block},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var servers conc.WaitGroup
			servers.Go(func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					servers.Go(func() {
						defer func() { _ = conn.Close() }()
						_, _ = conn.Read(make([]byte, 1))
						_, err := conn.Write(test.begin)
						for err == nil {
							_, err = conn.Write(test.repeated)
						}
						_, _ = io.Copy(io.Discard, conn)
					})
				}
			})
			defer servers.Wait()
			defer func() { _ = listener.Close() }()
			client := peer.NewClient(peer.ClientConfig{Pool: peer.NewPool(peer.PoolConfig{MaxPerPeer: requests, DialTimeout: time.Second, MaxMessage: 5 << 18}), Node: "node_1"})
			failed := make(chan error, requests)
			var group conc.WaitGroup
			for range requests {
				group.Go(func() {
					request := &call.Request{AttemptID: "a", Service: "s", Kind: "k", Method: "GET", Path: "/", Deadline: time.Now().Add(5 * time.Second)}
					_, err := client.Call(t.Context(), listener.Addr().String(), request)
					failed <- err
				})
			}
			var most uint64
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				most = max(most, stats.Sys-stats.HeapReleased)
			}
			group.Wait()
			for range requests {
				is.True(<-failed != nil)
			}
			t.Logf("%d MiB", most>>20)
			is.True(most < memory)
		})
	}
}

// Guards against large replies that are lost or held up because only some of them are received at once.
func TestManyLargeRepliesArrive(t *testing.T) {
	const requests, rounds = 30, 5
	is := is.New(t)
	body := []byte(strings.Repeat("x", 950_000))
	receive := receiverFunc(func(*call.Request) call.Reply { return call.Reply{Outcome: call.Ran, Status: 200, Body: body} })
	client, _, address := startNode(t, receive, time.Minute, nil)
	var complete atomic.Int64
	var group conc.WaitGroup
	for range requests {
		group.Go(func() {
			for range rounds {
				reply, err := client.Call(t.Context(), address, &call.Request{
					AttemptID: "a", Service: "keys", Kind: "keys", Method: "GET", Path: "/", Deadline: time.Now().Add(5 * time.Second),
				})
				if err == nil && len(reply.Body) == len(body) {
					complete.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.Equal(complete.Load(), int64(requests*rounds))
}
