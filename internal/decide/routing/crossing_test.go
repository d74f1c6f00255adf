package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
)

// crossZoneFraction sends requests to a node in each of three zones, which answer in the times and with the bytes below, and returns
// the part that left the own zone z0. Of the slots of the own node so many are taken.
func crossZoneFraction(sample func(node string) routing.Sample, taken int, r routing.Request) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	s := newSet(3)
	now := start
	far := 0
	const count = 2000
	for range taken {
		s.Find("node_0").Begin(r.Rank)
	}
	for range count {
		now = now.Add(5 * time.Millisecond)
		i, _ := s.Choose(now, random, r)
		if i.Member.Zone != "z0" {
			far++
		}
		i.Begin(r.Rank)
		answer := sample(i.Member.Node)
		answer.Kind, answer.Rank, answer.Result = r.Kind, r.Rank, routing.Good
		i.End(now, answer)
	}
	return float64(far) / count
}

// Pattern: a zone lacks the service at the end of a chain, so that each of the many calls there crosses to another zone. The
// request further up crosses instead, once, and takes all of its calls along; where no zone has it, nothing moves.
func TestRequestsCrossWhereTheirCallsWould(t *testing.T) {
	for name, test := range map[string]struct {
		below       map[string]int64
		least, most float64
	}{
		"own zone lacks it":         {map[string]int64{"node_0": 4000}, 0.95, 1},
		"a few calls cross":         {map[string]int64{"node_0": 500}, 0, 0},
		"no zone has it":            {map[string]int64{"node_0": 4000, "node_1": 4000, "node_2": 4000}, 0, 0.1},
		"one of the others has it":  {map[string]int64{"node_0": 4000, "node_1": 4000}, 0.9, 1},
		"only the other zones lack": {map[string]int64{"node_1": 4000, "node_2": 4000}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			part := crossZoneFraction(func(node string) routing.Sample {
				return routing.Sample{Latency: 20 * time.Millisecond, Bytes: 800, DownstreamCrossZoneBytes: test.below[node]}
			}, 0, routing.Request{Kind: "ledger", IsCall: true})
			t.Logf("%.2f crossed", part)
			is.New(t).True(part >= test.least && part <= test.most)
		})
	}
}

// Pattern: the zone that lacks something is idle and the others are busy. As long as these are quick, their load is no reason to
// send many calls across; where they are full, it is.
func TestBusyZonesTakeWhatWouldCross(t *testing.T) {
	for name, test := range map[string]struct {
		inFlight    int
		took        time.Duration
		least, most float64
	}{
		"half busy": {slots / 2, 25 * time.Millisecond, 0.95, 1},
		"slow":      {slots / 2, 50 * time.Millisecond, 0, 0.1},
		"full":      {slots, 25 * time.Millisecond, 0, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			part := crossZoneFraction(func(node string) routing.Sample {
				if node == "node_0" {
					return routing.Sample{Latency: 20 * time.Millisecond, Bytes: 800, DownstreamCrossZoneBytes: 4000, Load: routing.Load{Limit: slots}}
				}
				return routing.Sample{Latency: test.took, Bytes: 800, Load: routing.Load{InFlight: test.inFlight, Limit: slots}}
			}, 0, routing.Request{Kind: "ledger", IsCall: true})
			t.Logf("%.2f crossed", part)
			is.New(t).True(part >= test.least && part <= test.most)
		})
	}
}

// Pattern: the own zone has too little of the service at the end of a chain, and the calls of some requests cross. Only so many
// requests cross instead, not all.
func TestSomeRequestsCrossWhereSomeCallsWould(t *testing.T) {
	for name, share := range map[string]float64{"a fifth": 0.2, "half": 0.5, "most": 0.8} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(2, 2))
			part := crossZoneFraction(func(node string) routing.Sample {
				below := int64(0)
				if node == "node_0" && random.Float64() < share {
					below = 4000
				}
				return routing.Sample{Latency: 20 * time.Millisecond, Bytes: 800, DownstreamCrossZoneBytes: below}
			}, 0, routing.Request{Kind: "ledger", IsCall: true})
			t.Logf("%.2f crossed", part)
			is.New(t).True(part >= share-0.2 && part <= share+0.1)
		})
	}
}

// Pattern: the own zone is nearly full and another is quicker. What is small goes there, and what is large stays: its bytes
// cost more than the time is worth.
func TestLargeAnswersStayInTheirZone(t *testing.T) {
	for name, test := range map[string]struct {
		bytes       int64
		least, most float64
	}{
		"small": {500, 0.3, 1},
		"large": {6000, 0, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			part := crossZoneFraction(func(node string) routing.Sample {
				took := 100 * time.Millisecond
				if node == "node_0" {
					took = 250 * time.Millisecond
				}
				return routing.Sample{Latency: took, Bytes: test.bytes}
			}, slots-1, routing.Request{Kind: "browse"})
			t.Logf("%.2f crossed", part)
			is.New(t).True(part >= test.least && part <= test.most)
		})
	}
}
