package routed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func TestRequestStatsCountByKindAndOutcome(t *testing.T) {
	is := is.New(t)
	requests := newRequestStats()
	refused := call.Refused(call.NotRun, call.ReasonOverload, 0)
	requests.record("sheets", &call.Reply{Outcome: call.Ran}, 20*time.Millisecond)
	requests.record("sheets", &refused, time.Millisecond)
	for n := range 2 * maxKinds {
		requests.record(string(rune('a'+n)), &refused, time.Hour)
	}
	stats := requests.snapshot()
	is.Equal(stats["sheets"].ByOutcome, map[string]uint64{"ran": 1, "not_run_overload": 1})
	is.True(stats["sheets"].Max >= 20_000)
	is.Equal(len(stats), maxKinds+1) // kinds above the limit are counted together
	is.True(stats[otherKinds].Count > 0)
}
