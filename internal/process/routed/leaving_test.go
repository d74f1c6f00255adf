package routed_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// drainTime is how long after an entry has passed on a response that says that the backend server leaves requests of
// that entry may still be sent to the backend server.
const drainTime = 2 * time.Second

// watchTime is how long a test watches for requests that must not arrive.
const watchTime = 5 * time.Second

// leavingServer is a backend server that says in its responses that it leaves, if leaving is set.
type leavingServer struct {
	leaving  atomic.Bool
	arrivals atomic.Int64
}

func (s *leavingServer) serve(w http.ResponseWriter, r *http.Request) {
	s.arrivals.Add(1)
	if s.leaving.Load() {
		w.Header().Set("Leaving", "1")
	}
	hello(w, r)
}

// Guards against requests to a backend server that has said that it leaves: in its responses only, before an announcement
// that was sent earlier and says that it is ready, or before the node beside it restarts.
func TestBackendServerThatSaidItLeavesGetsNoRequests(t *testing.T) {
	for name, leave := range map[string]func(t *testing.T, f *fleet, node *testNode, s *leavingServer){
		"in responses, announcements say ready": func(_ *testing.T, _ *fleet, node *testNode, s *leavingServer) {
			s.leaving.Store(true)
			time.Sleep(drainTime)
			node.announceServer(false)
		},
		"withdrawn, then a late announcement": func(_ *testing.T, _ *fleet, node *testNode, _ *leavingServer) {
			node.departed("i_" + node.settings.Node.Name)
			node.announceServer(false)
			time.Sleep(drainTime)
		},
		"in responses, then the node restarts": func(t *testing.T, f *fleet, node *testNode, s *leavingServer) {
			s.leaving.Store(true)
			time.Sleep(drainTime / 2)
			f.restart(t, node)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := &leavingServer{}
			f := newFleet(t, twoServices(1))
			node := f.add(t, "zone_1", "crew", server.serve)
			entry := f.add(t, "zone_1", "bookings", hello)
			f.waitReady(t)
			ctx, cancel := context.WithCancel(t.Context())
			var load conc.WaitGroup
			load.Go(func() { sendSteadily(ctx, t, entry, 20*time.Millisecond) })
			time.Sleep(time.Second)
			is.True(server.arrivals.Load() > 0)
			leave(t, f, node, server)
			before := server.arrivals.Load()
			time.Sleep(watchTime)
			cancel()
			load.Wait()
			is.Equal(server.arrivals.Load(), before)
		})
	}
}

// Guards against a backend server that stays out of use after it has started again under its name.
func TestRestartedBackendServerGetsRequestsAgain(t *testing.T) {
	is := is.New(t)
	server := &leavingServer{}
	f := newFleet(t, twoServices(1))
	node := f.add(t, "zone_1", "crew", server.serve)
	entry := f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	client := &http.Client{}
	server.leaving.Store(true)
	is.Equal(entry.call(t, client, "GET", "sheets.example", "/a").status, http.StatusOK)
	server.leaving.Store(false)
	node.restartServer()
	time.Sleep(2 * time.Second) // within which the entry avoids an instance that refused everything
	is.Equal(entry.call(t, client, "GET", "sheets.example", "/a").status, http.StatusOK)
}
