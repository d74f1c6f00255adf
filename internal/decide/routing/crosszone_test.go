package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
)

// crossZoneFraction sends requests from zone z0 to one node in each of three zones and returns the fraction that left
// z0. sample gives the latency and bytes at each node; slotsInUse is how many slots of the node in z0 are in use.
func crossZoneFraction(sample func(node string) routing.Sample, slotsInUse int, r routing.Request) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	s := newSet(3)
	now := start
	crossed := 0
	const count = 2000
	for range slotsInUse {
		s.Find("node_0").Begin(r.Rank)
	}
	for range count {
		now = now.Add(5 * time.Millisecond)
		i, _ := s.Choose(now, random, r)
		if i.Member.Zone != "z0" {
			crossed++
		}
		i.Begin(r.Rank)
		answer := sample(i.Member.Node)
		answer.Kind, answer.Rank, answer.Result = r.Kind, r.Rank, routing.Good
		i.End(now, answer)
	}
	return float64(crossed) / count
}

// TestRequestsCrossZonesInsteadOfCalls guards against cross-zone traffic that grows with the number of calls: a zone
// lacks the service at the end of a chain, so each call there crosses to another zone. The request further up the
// chain crosses once instead and takes its calls along. If no zone has the service, nothing moves.
func TestRequestsCrossZonesInsteadOfCalls(t *testing.T) {
	for name, test := range map[string]struct {
		crossZoneBytes map[string]int64
		least, most    float64
	}{
		"sender's zone lacks it":         {map[string]int64{"node_0": 4000}, 0.95, 1},
		"a few calls cross":              {map[string]int64{"node_0": 500}, 0, 0},
		"no zone has the service":        {map[string]int64{"node_0": 4000, "node_1": 4000, "node_2": 4000}, 0, 0.1},
		"one other zone has the service": {map[string]int64{"node_0": 4000, "node_1": 4000}, 0.9, 1},
		"only other zones lack it":       {map[string]int64{"node_1": 4000, "node_2": 4000}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			fraction := crossZoneFraction(func(node string) routing.Sample {
				return routing.Sample{Latency: 20 * time.Millisecond, Bytes: 800, DownstreamCrossZoneBytes: test.crossZoneBytes[node]}
			}, 0, routing.Request{Kind: "ledger", IsCall: true})
			t.Logf("%.2f crossed", fraction)
			is.New(t).True(fraction >= test.least && fraction <= test.most)
		})
	}
}

// TestLoadOfOtherZonesLimitsCrossing guards against many calls that cross between zones only because the other zones are
// busy. The sender's zone is idle but lacks a service further down the chain. While another zone is fast, requests move
// there, even if it is half busy; if it is slow or full, they stay.
func TestLoadOfOtherZonesLimitsCrossing(t *testing.T) {
	for name, test := range map[string]struct {
		inFlight    int
		latency     time.Duration
		least, most float64
	}{
		"half busy": {slots / 2, 25 * time.Millisecond, 0.95, 1},
		"slow":      {slots / 2, 50 * time.Millisecond, 0, 0.1},
		"full":      {slots, 25 * time.Millisecond, 0, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			fraction := crossZoneFraction(func(node string) routing.Sample {
				if node == "node_0" {
					return routing.Sample{Latency: 20 * time.Millisecond, Bytes: 800, DownstreamCrossZoneBytes: 4000, Load: routing.Load{Limit: slots}}
				}
				return routing.Sample{Latency: test.latency, Bytes: 800, Load: routing.Load{InFlight: test.inFlight, Limit: slots}}
			}, 0, routing.Request{Kind: "ledger", IsCall: true})
			t.Logf("%.2f crossed", fraction)
			is.New(t).True(fraction >= test.least && fraction <= test.most)
		})
	}
}

// TestFractionOfRequestsThatCross guards against moving all requests when the sender's zone has too little capacity
// at the end of a chain and only some calls cross. The fraction of requests that crosses follows the fraction of
// requests whose calls would cross.
func TestFractionOfRequestsThatCross(t *testing.T) {
	for name, share := range map[string]float64{"a fifth": 0.2, "half": 0.5, "most": 0.8} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(2, 2))
			fraction := crossZoneFraction(func(node string) routing.Sample {
				crossZoneBytes := int64(0)
				if node == "node_0" && random.Float64() < share {
					crossZoneBytes = 4000
				}
				return routing.Sample{Latency: 20 * time.Millisecond, Bytes: 800, DownstreamCrossZoneBytes: crossZoneBytes}
			}, 0, routing.Request{Kind: "ledger", IsCall: true})
			t.Logf("%.2f crossed", fraction)
			is.New(t).True(fraction >= share-0.2 && fraction <= share+0.1)
		})
	}
}

// TestLargeAnswersStayInTheirZone guards against large replies between zones when the sender's zone is nearly full
// and another zone is faster. Requests with small replies move; for large ones the cost of the bytes exceeds the gain
// in time.
func TestLargeAnswersStayInTheirZone(t *testing.T) {
	for name, test := range map[string]struct {
		bytes       int64
		least, most float64
	}{
		"small": {500, 0.3, 1},
		"large": {6000, 0, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			fraction := crossZoneFraction(func(node string) routing.Sample {
				latency := 100 * time.Millisecond
				if node == "node_0" {
					latency = 250 * time.Millisecond
				}
				return routing.Sample{Latency: latency, Bytes: test.bytes}
			}, slots-1, routing.Request{Kind: "browse"})
			t.Logf("%.2f crossed", fraction)
			is.New(t).True(fraction >= test.least && fraction <= test.most)
		})
	}
}
