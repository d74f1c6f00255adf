package routing_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/server"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	// detectTimeout is the time after which a crashed backend server gets no new requests.
	detectTimeout = 2 * time.Second
	// hangDetectTimeout is the same for a backend server that hangs, which shows only in missing announcements and responses.
	hangDetectTimeout = 3 * time.Second
	// returnTimeout is the time after which a backend server that is up again gets requests.
	returnTimeout = 2 * time.Second
)

// TestLostBackendServerGetsNoRequests crashes or hangs a backend server while its node stays up. The node still sends heartbeats, so
// peers must learn from it that the backend server is down.
func TestLostBackendServerGetsNoRequests(t *testing.T) {
	const crash = "crash-now"
	cases := map[string]struct {
		lose   func(b *server.Behaviour)
		within time.Duration
	}{
		"ends": {
			lose:   func(b *server.Behaviour) { b.CrashOn, b.RestartAfter = crash, 3*time.Second },
			within: detectTimeout,
		},
		"hangs": {
			lose:   func(b *server.Behaviour) { b.Hung = true },
			within: hangDetectTimeout,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := harness.Start(t, fleet.Config{Deployment: plainDeployment(3)})
			lost := f.Nodes[0]
			before := lost.Server.Behaviour()
			harness.Eventually(t, returnTimeout, func() bool { return allRouteTo(t, f, lost, true) })
			time.Sleep(announcementLearnTime)
			changed := before
			c.lose(&changed)
			lost.Server.SetBehaviour(changed)
			var group conc.WaitGroup
			for range probeRequests { // some of them reach the lost backend server
				group.Go(func() { get(t, f.Nodes[1].Caller, crash) })
			}
			harness.Eventually(t, c.within, func() bool { return allRouteTo(t, f, lost, false) })
			group.Wait()
			for range probeRequests {
				is.Equal(get(t, f.Nodes[1].Caller, "plain"), http.StatusOK)
			}
			lost.Server.SetBehaviour(before)
			harness.Eventually(t, changed.RestartAfter+returnTimeout, func() bool { return allRouteTo(t, f, lost, true) })
		})
	}
}

// probeRequests is enough for each of three instances to get some.
const probeRequests = 20

// announcementLearnTime is longer than the time in which a node learns that the announcements of its backend server are regular.
const announcementLearnTime = 3 * time.Second

// allRouteTo reports whether all nodes route to the backend server of the lost node or, if accepts is false, whether none does.
func allRouteTo(t *testing.T, f *fleet.Fleet, lost *fleet.Node, accepts bool) bool {
	for _, n := range f.Nodes {
		dump, err := fleet.FetchDump(t.Context(), n.Backend)
		if err != nil {
			t.Fatalf("dump of %s: %v", n.Name, err)
		}
		if dump.Board.Members.AcceptsRequests(lost.Service, lost.Name) != accepts {
			return false
		}
	}
	return true
}

// get sends a lookup with the body and returns the status of the response, or 0 if there is none.
func get(t *testing.T, node, body string) int {
	address := "http://" + node + "/call/level0/look"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, address, strings.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
