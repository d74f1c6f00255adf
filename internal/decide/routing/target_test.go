package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
)

// TestTargetMissedInSlowZone guards against missed targets when backend servers of one service differ in speed and
// the one in the sender's zone is too slow for many requests. Urgent requests move to a faster one in another zone;
// requests with enough time, and calls, stay.
func TestTargetMissedInSlowZone(t *testing.T) {
	for name, test := range map[string]struct {
		request     routing.Request
		least, most int
	}{
		"target near":         {routing.Request{Kind: "window", Target: 250 * time.Millisecond}, 800, 1000},
		"time enough":         {routing.Request{Kind: "window", Target: 2 * time.Second}, 0, 0},
		"no target":           {routing.Request{Kind: "window"}, 0, 0},
		"a call":              {routing.Request{Kind: "window", Target: 250 * time.Millisecond, IsCall: true}, 0, 0},
		"another slow enough": {routing.Request{Kind: "slow", Target: 250 * time.Millisecond}, 0, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			now := time.Now()
			set := routing.NewSet(routing.DefaultConfig("node_1", "zone_1"))
			set.Update(now, []routing.Member{{Node: "near", Zone: "zone_1", Slots: 100}, {Node: "far", Zone: "zone_2", Slots: 100}})
			far := 0
			for n := range 1500 {
				now = now.Add(10 * time.Millisecond)
				i, ok := set.Choose(now, random, test.request)
				is.True(ok)
				if i.Member.Node == "far" && n >= 500 {
					far++
				}
				latency := map[string]time.Duration{"near": 150 * time.Millisecond, "far": 80 * time.Millisecond}[i.Member.Node]
				if test.request.Kind == "slow" {
					latency = 150 * time.Millisecond
				}
				i.Begin(0)
				i.End(now, routing.Sample{Result: routing.Good, Latency: latency, Kind: test.request.Kind})
			}
			is.True(far >= test.least)
			is.True(far <= test.most)
		})
	}
}
