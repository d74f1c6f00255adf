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
