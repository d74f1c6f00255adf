package lineage_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/lineage"
)

func TestMatch(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	running := []lineage.Running{
		{Started: at(0), Deadline: at(1200)},
		{Started: at(40), Deadline: at(900)},
		{Started: at(99), Deadline: at(1299)},
	}
	for name, test := range map[string]struct {
		now     int
		expires int
		want    int
	}{
		"expires with its request":          {100, 899, 1},
		"expires its own time after":        {100, 697, 0},
		"a later call of the same request":  {300, 698, 0},
		"fits nothing":                      {100, 1000, -1},
		"whole time of a caller's request":  {100, 1300, -1},
		"of a request that has just begun":  {100, 799, -1},
		"the same request a while later":    {120, 799, 2},
		"its request has expired meanwhile": {1000, 898, -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := lineage.NewMatcher()
			_, _ = m.Match(at(2), lineage.Call{Kind: "keys", Expires: at(695)}, nil) // a first call shows the kind's own time
			index, ok := m.Match(at(test.now), lineage.Call{Kind: "keys", Expires: at(test.expires)}, running)
			for range 3 {
				index, ok = m.Match(at(test.now), lineage.Call{Kind: "keys", Expires: at(test.expires)}, running)
			}
			is.Equal(ok, test.want >= 0)
			if ok {
				is.Equal(index, test.want)
			}
		})
	}
}

// Requests of callers that fit a running request now and then by chance are not taken for calls.
func TestChanceFitsAreNoCalls(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	running := []lineage.Running{{Started: now.Add(-time.Second), Deadline: now.Add(time.Second)}}
	m := lineage.NewMatcher()
	matched := 0
	for n := range 200 {
		expires := now.Add(3 * time.Second)
		if n%5 == 0 {
			expires = now.Add(time.Second)
		}
		if _, ok := m.Match(now, lineage.Call{Kind: "window", Expires: expires}, running); ok {
			matched++
		}
	}
	is.True(matched <= 1)
}
