package routed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func TestMetersCountByKindAndEnd(t *testing.T) {
	is := is.New(t)
	m := newMeters()
	refused := call.Refused(call.NotRun, call.ReasonOverload, 0)
	m.note("sheets", &call.Reply{Outcome: call.Ran}, 20*time.Millisecond)
	m.note("sheets", &refused, time.Millisecond)
	for n := range 2 * maxMeters {
		m.note(string(rune('a'+n)), &refused, time.Hour)
	}
	read := m.read()
	is.Equal(read["sheets"].Ended, map[string]uint64{"ran": 1, "not_run_overload": 1})
	is.True(read["sheets"].Max >= 20_000)
	is.Equal(len(read), maxMeters+1) // kinds beyond the bound count as one
	is.True(read[otherKinds].Count > 0)
}
