package admission_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	// crashText in a request body crashes the backend server that runs the request.
	crashText = "crash"
	// crashAt is when one of the two backend servers crashes; it restarts, cold, after coldRestart.
	crashAt     = time.Second
	coldRestart = 200 * time.Millisecond
	coldTime    = 2 * time.Second
)

// A backend server that restarts cold runs at a sixth of its speed. If it gets its full share of requests at once, they queue
// and miss their deadlines; the load must ramp up with its capacity.
func TestColdInstanceIsRamped(t *testing.T) {
	is := is.New(t)
	d := venueDeployment()
	d.Services[0].Behaviour.CrashOn = crashText
	d.Services[0].Behaviour.RestartAfter = coldRestart
	d.Services[0].Behaviour.ColdFactor = 6
	d.Services[0].Behaviour.ColdTime = coldTime
	f := harness.Start(t, fleet.Config{Deployment: d})
	timer := time.AfterFunc(crashAt, func() { crashOne(t, f) })
	defer timer.Stop()
	results := run(t, f, stream("sheets", "/sheets/x", 0, 100), stream("orders", "/orders/x", 5, 40))
	crashes, ran := 0, 0
	for _, n := range f.Nodes {
		crashes += n.Server.Report().Crashes
		if n.Server.Report().Crashes == 0 {
			continue
		}
		for _, r := range n.Server.Ledger().Runs() {
			ran += r.Ended
		}
	}
	is.Equal(crashes, 1)
	is.True(ran > 0)                                                            // the cold instance gets requests
	is.True(goodRatio(results, "sheets", crashAt+coldRestart, runTime) >= 0.99) // succeeded within the deadline
}

// crashOne sends a request that crashes the backend server that runs it. The request is not idempotent, so it is not retried on
// another backend server.
func crashOne(t *testing.T, f *fleet.Fleet) {
	address := "http://" + f.Nodes[0].Caller + "/call/venue/bookings/x"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address, strings.NewReader(crashText))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
