package fence_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/fence"
)

// An attempt that arrives after Resolve reported that it has not run must not run.
func TestLateAttemptDoesNotRun(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := fence.NewTable()
	is.Equal(table.Resolve(now, "a"), fence.Fenced)
	is.True(!table.Begin(now.Add(20*time.Second), "a"))
}

func TestResolve(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		prepare func(*fence.Table)
		want    fence.State
	}{
		"never seen":           {func(*fence.Table) {}, fence.Fenced},
		"running":              {func(t *fence.Table) { t.Begin(now, "a") }, fence.Running},
		"ended after it ran":   {func(t *fence.Table) { t.Begin(now, "a"); t.End(now, "a", true) }, fence.Ran},
		"refused by admission": {func(t *fence.Table) { t.Begin(now, "a"); t.End(now, "a", false) }, fence.Fenced},
	} {
		t.Run(name, func(t *testing.T) {
			table := fence.NewTable()
			test.prepare(table)
			is.New(t).Equal(table.Resolve(now, "a"), test.want)
		})
	}
}

func TestAttemptRunsOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := fence.NewTable()
	is.True(table.Begin(now, "a"))
	is.True(!table.Begin(now, "a"))
	table.End(now, "a", true)
	is.True(!table.Begin(now.Add(time.Second), "a"))
}

func TestEndedAttemptsExpire(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := fence.NewTable()
	for n := range 1000 {
		id := string(rune('a' + n))
		is.True(table.Begin(now, id))
		table.End(now, id, true)
		now = now.Add(100 * time.Millisecond)
	}
	is.True(table.Len() < 400)
}
