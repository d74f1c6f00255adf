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
	// detectTimeout is the time after which a dead backend server gets no new work.
	detectTimeout = 2 * time.Second
	// hangDetectTimeout is that time for one that hangs, which is known only by what it leaves out.
	hangDetectTimeout = 3 * time.Second
	// returnTimeout is the time after which one that is there again gets work.
	returnTimeout = 2 * time.Second
)

// TestLostBackendServerGetsNoRequests loses a backend server while its node lives on.
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
			for range probeRequests { // some of them reach the lost one
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

// probeRequests are so many that each of three instances gets some.
const probeRequests = 20

// announcementLearnTime is longer than a backend server takes until its announcements are known to be regular.
const announcementLearnTime = 3 * time.Second

// allRouteTo reports whether every node sends requests to the lost one's backend server, or none does.
func allRouteTo(t *testing.T, f *fleet.Fleet, lost *fleet.Node, takesWork bool) bool {
	for _, n := range f.Nodes {
		dump, err := fleet.FetchDump(t.Context(), n.Backend)
		if err != nil {
			t.Fatalf("dump of %s: %v", n.Name, err)
		}
		if dump.Board.Members.AcceptsRequests(lost.Service, lost.Name) != takesWork {
			return false
		}
	}
	return true
}

// get sends a lookup with the body and returns the answer's status, or 0 without an answer.
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
