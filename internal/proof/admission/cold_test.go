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
	// crashText in a body crashes the backend server that runs it.
	crashText = "crash"
	// crashAt is when one of the two backend servers is made to crash; it is back, cold, after coldRestart.
	crashAt     = time.Second
	coldRestart = 200 * time.Millisecond
	coldTime    = 2 * time.Second
)

// A backend server that comes back cold, at a sixth of its speed, gets what it can do and no more.
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
	is.True(ran > 0)                                                            // the cold one is used
	is.True(goodRatio(results, "sheets", crashAt+coldRestart, runTime) >= 0.99) // good answers in the deadline
}

// crashOne sends a request that crashes the backend server that runs it. It is not idempotent, so no other one gets it.
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
