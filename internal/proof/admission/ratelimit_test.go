package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// Guards against backend servers that state a rate limit and get more, and against urgent work that is lost because less
// urgent work uses the rate up.
func TestUrgentWorkIsServedWithinRateLimits(t *testing.T) {
	is := is.New(t)
	const (
		rateLimit = 20 // requests per second and backend server
		learnTime = time.Second
		duration  = 5 * time.Second
		// In any time, a backend server may get one and a half times its limit, and 5 requests more.
		allowed = 1.5*rateLimit*4 + 5
	)
	d := venueDeployment()
	d.Services[0].Behaviour.RateLimit = rateLimit
	f := harness.Start(t, fleet.Config{Deployment: d})
	begin := time.Now()
	results := load.Run(t.Context(), load.Config{
		Streams: []load.Stream{stream("sheets", "/sheets/x", 0, 15), stream("archive", "/archive/x", 8, 200)},
		Targets: f.Callers(), Duration: duration, Seed: 1,
	})
	_ = fleet.WriteTable(t.Output(), fleet.Summarize(results))
	logFailures(t, results, "sheets")
	is.True(goodRatio(results, "sheets", learnTime, duration) >= 0.99)
	checkRefusals(is, results)
	for _, n := range f.Nodes {
		started := 0
		for _, r := range n.Server.Ledger().Runs() {
			if r.First.After(begin.Add(learnTime)) {
				started += r.Started
			}
		}
		t.Logf("%s started %d requests", n.Name, started)
		is.True(started <= allowed)
		is.True(started >= rateLimit*2) // the rate is used
	}
}
