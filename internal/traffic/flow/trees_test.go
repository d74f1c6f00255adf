package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/trees"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// Pattern: one backend server of a service is left, and its requests wait for its own slots. That wait takes as much of
// their time as one further down.
func TestWaitAtTheOwnGateLowersTheBound(t *testing.T) {
	limit := func(waited time.Duration) float64 {
		limits := NewCallTreeLimits(trees.DefaultConfig)
		r := &call.Request{Kind: "sheet"}
		var running []trees.Start
		for range 100 {
			for start, _, ok := limits.begin(r, 36); ok; start, _, ok = limits.begin(r, 36) {
				running = append(running, start)
			}
			limits.end(r, running[0], waited, backend.Result{HoldTime: 500 * time.Millisecond, Downstream: call.Below{Calls: 2}})
			running = running[1:]
		}
		value, _ := limits.limit("sheet")
		return value
	}
	is := is.New(t)
	is.True(limit(500*time.Millisecond) < limit(0)/2)
}
