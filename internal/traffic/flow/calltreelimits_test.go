package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/calllimit"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// With one backend server of a service left, its requests queue for its slots. That queueing delay must lower the limit
// as much as one further down the call tree.
func TestLocalQueueingDelayLowersLimit(t *testing.T) {
	limit := func(queueingDelay time.Duration) float64 {
		limits := NewCallTreeLimits(calllimit.DefaultConfig)
		r := &call.Request{Kind: "sheet"}
		var running []calllimit.Start
		for range 100 {
			for start, _, ok := limits.begin(r, 36); ok; start, _, ok = limits.begin(r, 36) {
				running = append(running, start)
			}
			limits.end(r, running[0], queueingDelay, backend.Result{HoldTime: 500 * time.Millisecond, Downstream: call.DownstreamSummary{Calls: 2}})
			running = running[1:]
		}
		value, _ := limits.limit("sheet")
		return value
	}
	is := is.New(t)
	is.True(limit(500*time.Millisecond) < limit(0)/2)
}
