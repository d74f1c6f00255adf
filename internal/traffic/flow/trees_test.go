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
	bound := func(waited time.Duration) float64 {
		bounds := NewTrees(trees.DefaultConfig)
		r := &call.Request{Kind: "sheet"}
		var running []trees.Start
		for range 100 {
			for start, _, ok := bounds.begin(r, 36); ok; start, _, ok = bounds.begin(r, 36) {
				running = append(running, start)
			}
			bounds.end(r, running[0], waited, backend.Result{Held: 500 * time.Millisecond, Below: call.Below{Calls: 2}})
			running = running[1:]
		}
		value, _ := bounds.bound("sheet")
		return value
	}
	is := is.New(t)
	is.True(bound(500*time.Millisecond) < bound(0)/2)
}
