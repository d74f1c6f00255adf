package flow

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// A request that the backend server shed is requeued if it is safe to repeat and has attempts left. If the requeue is
// refused, the earlier result is returned.
func TestRequeueShedRequest(t *testing.T) {
	for name, test := range map[string]struct {
		idempotent bool
		attempts   int
		// shedFirst is how many requests the backend server sheds before it accepts one.
		shedFirst int32
		// leaves says that the node begins to leave while the backend server sheds the request.
		leaves       bool
		status, runs int
		used         int
	}{
		"shed once":             {idempotent: true, attempts: 1, shedFirst: 1, status: http.StatusOK, runs: 2, used: 1},
		"shed twice":            {idempotent: true, attempts: 1, shedFirst: 2, status: http.StatusServiceUnavailable, runs: 2, used: 1},
		"without attempts":      {idempotent: true, attempts: 0, shedFirst: 1, status: http.StatusServiceUnavailable, runs: 1, used: 0},
		"not idempotent":        {idempotent: false, attempts: 1, shedFirst: 1, status: http.StatusServiceUnavailable, runs: 1, used: 0},
		"node is leaving":       {idempotent: true, attempts: 1, shedFirst: 1, leaves: true, status: http.StatusServiceUnavailable, runs: 1, used: 0},
		"served the first time": {idempotent: true, attempts: 1, shedFirst: 0, status: http.StatusOK, runs: 1, used: 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			loop := board.NewLoop(board.Board{})
			ctx, cancel := context.WithCancel(t.Context())
			var arrived atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if arrived.Add(1) > test.shedFirst {
					return
				}
				if test.leaves {
					loop.Do(ctx, func(b *board.Board) { b.Self.Leaving = true })
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer server.Close()
			var group conc.WaitGroup
			defer group.Wait()
			defer cancel()
			group.Go(func() { loop.Run(ctx) })
			loop.Do(ctx, func(b *board.Board) {
				b.Backend = board.Backend{Service: "keys", Address: strings.TrimPrefix(server.URL, "http://")}
			})
			log := events.NewLimiter(events.NewLog(io.Discard, zerolog.InfoLevel, "node_1"), time.Second)
			v := NewReceiver(ReceiverConfig{
				Board:       loop,
				Gate:        backend.NewGate(admission.GateConfig{Limit: admission.LimitConfig{Initial: 4, Min: 1, Max: 8}, MaxDelayLeastUrgent: time.Second}),
				Backend:     backend.NewClient(backend.ClientConfig{MaxBody: 1 << 10}, call.NewRunningRequests()),
				Quarantine:  NewQuarantine(QuarantineConfig{Table: quarantine.DefaultConfig}),
				RequeueShed: true,
				Events:      log,
				Requests:    log,
			})
			reply := v.Receive(ctx, &call.Request{
				Service: "keys", Method: http.MethodGet, Path: "/x", Idempotent: test.idempotent,
				AttemptsLeft: test.attempts, Deadline: time.Now().Add(5 * time.Second),
			})
			is.Equal(reply.Outcome, call.Ran)
			is.Equal(reply.Status, test.status)
			is.Equal(int(arrived.Load()), test.runs)
			is.Equal(reply.AttemptsUsed, test.used)
		})
	}
}

// Guards against a request that reaches a backend server long after its node has acknowledged that it leaves, because the
// request waited meanwhile: for a slot, or for a connection while the process was slow or paused. "Not run" lets the sender
// try another instance.
func TestRequestThatWaitedIsNotSentToALeavingBackendServer(t *testing.T) {
	for name, test := range map[string]struct {
		slots, connections int
		change             func(b *board.Board)
		want               call.Reason
	}{
		"waits for a slot, backend server leaves":           {1, 8, func(b *board.Board) { b.Backend.Leaving = true }, call.ReasonDraining},
		"waits for a connection, backend server leaves":     {8, 1, func(b *board.Board) { b.Backend.Leaving = true }, call.ReasonDraining},
		"waits for a slot, backend server is replaced":      {1, 8, func(b *board.Board) { b.Backend.Instance = "other" }, call.ReasonNoInstance},
		"waits for a connection, address is another's":      {8, 1, func(b *board.Board) { b.Backend.Service = "rigs" }, call.ReasonNoInstance},
		"waits for a slot, nothing changes":                 {1, 8, func(*board.Board) {}, call.ReasonNone},
		"waits for a slot, node leaves, backend server not": {1, 8, func(b *board.Board) { b.Self.Leaving = true }, call.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			loop := board.NewLoop(board.Board{})
			ctx, cancel := context.WithCancel(t.Context())
			started, release := make(chan struct{}, 2), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				started <- struct{}{}
				<-release
			}))
			defer server.Close()
			var group conc.WaitGroup
			defer group.Wait()
			defer cancel()
			group.Go(func() { loop.Run(ctx) })
			loop.Do(ctx, func(b *board.Board) {
				b.Backend = board.Backend{Service: "keys", Address: strings.TrimPrefix(server.URL, "http://"), Instance: "one"}
			})
			client := backend.NewClient(backend.ClientConfig{MaxBody: 1 << 10}, call.NewRunningRequests())
			client.SetMaxConnections(test.connections)
			log := events.NewLimiter(events.NewLog(io.Discard, zerolog.InfoLevel, "node_1"), time.Second)
			v := NewReceiver(ReceiverConfig{
				Board: loop,
				Gate: backend.NewGate(admission.GateConfig{
					Limit: admission.LimitConfig{Initial: test.slots, Min: test.slots, Max: test.slots}, MaxDelayLeastUrgent: 10 * time.Second, MaxDelayMostUrgent: 10 * time.Second,
				}),
				Backend:    client,
				Quarantine: NewQuarantine(QuarantineConfig{Table: quarantine.DefaultConfig}),
				Events:     log,
				Requests:   log,
			})
			receive := func() call.Reply {
				return v.Receive(ctx, &call.Request{Service: "keys", Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(5 * time.Second)})
			}
			replies := make(chan call.Reply, 1)
			group.Go(func() { receive() })
			<-started
			group.Go(func() { replies <- receive() })
			time.Sleep(50 * time.Millisecond) // the second request waits
			loop.Do(ctx, test.change)
			close(release)
			client.SetMaxConnections(8)
			reply := <-replies
			is.Equal(reply.Reason, test.want)
			is.Equal(reply.Outcome == call.NotRun, test.want != call.ReasonNone)
			is.Equal(len(started), map[bool]int{true: 0, false: 1}[test.want != call.ReasonNone]) // whether it reached the backend server
		})
	}
}
