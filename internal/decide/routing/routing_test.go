package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
)

var start = time.Unix(1_000_000, 0)

const slots = 10

// members returns instances spread evenly over the zones z0 to z2.
func members(count int) []routing.Member {
	var list []routing.Member
	for i := range count {
		list = append(list, routing.Member{Node: fmt.Sprint("node_", i), Zone: fmt.Sprint("z", i%3), Slots: slots})
	}
	return list
}

func newSet(count int) *routing.Set {
	s := routing.NewSet(routing.DefaultConfig("sender", "z0"))
	s.Update(start, members(count))
	return s
}

// behaviour is how a simulated instance replies.
type behaviour struct {
	latency time.Duration
	result  routing.Result
	// failEvery makes every failEvery-th request fail; 0 means none.
	failEvery int
}

// answer returns the outcome of the request with the given number.
func (b behaviour) answer(number int) routing.Sample {
	if b.failEvery > 0 && number%b.failEvery == 0 {
		return routing.Sample{Result: routing.Failed, Latency: b.latency}
	}
	return routing.Sample{Result: b.result, Latency: b.latency}
}

type pending struct {
	endsAt   time.Time
	instance *routing.Instance
	sample   routing.Sample
}

// sendRequests sends count requests at intervals of gap and returns how many each node got.
func sendRequests(s *routing.Set, from time.Time, count int, gap time.Duration, nodes map[string]behaviour) map[string]int {
	random := rand.New(rand.NewPCG(1, 1))
	got := map[string]int{}
	var open []pending
	now := from
	for range count {
		now = now.Add(gap)
		var left []pending
		for _, p := range open {
			if p.endsAt.After(now) {
				left = append(left, p)
				continue
			}
			p.instance.End(now, p.sample)
		}
		open = left
		i, ok := s.Choose(now, random, routing.Request{})
		if !ok {
			continue
		}
		b := nodes[i.Member.Node]
		i.Begin(0)
		got[i.Member.Node]++
		open = append(open, pending{now.Add(b.latency), i, b.answer(got[i.Member.Node])})
	}
	for _, p := range open {
		p.instance.End(now, p.sample)
	}
	return got
}

func uniform(count int, b behaviour) map[string]behaviour {
	nodes := map[string]behaviour{}
	for _, m := range members(count) {
		nodes[m.Node] = b
	}
	return nodes
}

func TestRequestDistribution(t *testing.T) {
	good := behaviour{latency: 20 * time.Millisecond, result: routing.Good}
	slow := behaviour{latency: 200 * time.Millisecond, result: routing.Good}
	failing := behaviour{latency: time.Millisecond, result: routing.Failed}
	unreliable := behaviour{latency: time.Millisecond, result: routing.Good, failEvery: 3}
	for name, test := range map[string]struct {
		instances int
		changed   behaviour
		gap       time.Duration
		// least and most limit the fraction of requests that node_0 gets. With three instances, it is the only one in
		// the sender's zone.
		least, most float64
	}{
		"sender's zone preferred":     {3, good, 5 * time.Millisecond, 0.95, 1},
		"spills over before it fills": {3, good, time.Millisecond, 0.3, 0.7},
		"slow instance gets less":     {9, slow, 5 * time.Millisecond, 0.001, 0.15},
		"fast instance with errors":   {9, unreliable, 5 * time.Millisecond, 0.001, 0.1},
		"fast failing instance":       {9, failing, 5 * time.Millisecond, 0.001, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			nodes := uniform(test.instances, good)
			nodes["node_0"] = test.changed
			s := newSet(test.instances)
			sendRequests(s, start, 1000, test.gap, nodes)
			fraction := float64(sendRequests(s, start.Add(time.Minute), 4000, test.gap, nodes)["node_0"]) / 4000
			if fraction < test.least || fraction > test.most {
				t.Errorf("node_0 got %.3f of the requests, want %.3f to %.3f", fraction, test.least, test.most)
			}
			is.Equal(s.Len(), test.instances)
		})
	}
}

func TestNeverEjectsAll(t *testing.T) {
	is := is.New(t)
	got := sendRequests(newSet(3), start, 300, 10*time.Millisecond, uniform(3, behaviour{latency: time.Millisecond, result: routing.Failed}))
	total := 0
	for _, count := range got {
		total += count
	}
	is.Equal(total, 300)  // every request is sent
	is.Equal(len(got), 3) // every instance gets some
}

func TestEjectedInstancesAreAvoided(t *testing.T) {
	is := is.New(t)
	s := newSet(3)
	for _, node := range []string{"node_0", "node_1"} {
		for range 3 {
			s.Find(node).End(start, routing.Sample{Result: routing.Failed})
		}
	}
	got := sendRequests(s, start, 100, 10*time.Millisecond, uniform(3, behaviour{latency: time.Millisecond, result: routing.Good}))
	is.Equal(got["node_2"], 100)
}

// TestUnreachableInstancesAreAvoided guards against requests to a zone that is cut off: its instances get none while
// they are unreachable, even if they answered well before.
func TestUnreachableInstancesAreAvoided(t *testing.T) {
	is := is.New(t)
	s := newSet(3)
	nodes := uniform(3, behaviour{latency: time.Millisecond, result: routing.Good})
	sendRequests(s, start, 100, 10*time.Millisecond, nodes)
	s.Find("node_0").Unreachable = true
	is.Equal(sendRequests(s, start.Add(time.Second), 100, 10*time.Millisecond, nodes)["node_0"], 0)
	s.Find("node_1").Unreachable, s.Find("node_2").Unreachable = true, true
	got := sendRequests(s, start.Add(2*time.Second), 100, 10*time.Millisecond, nodes)
	is.Equal(got["node_0"]+got["node_1"]+got["node_2"], 100) // unreachable instances are used if there are no others
	s.Find("node_0").Unreachable = false
	is.Equal(sendRequests(s, start.Add(3*time.Second), 100, 10*time.Millisecond, nodes)["node_0"], 100)
}

func TestStatsShowEvidence(t *testing.T) {
	is := is.New(t)
	s := newSet(1)
	i := s.Find("node_0")
	is.Equal(i.Stats(start).Ejection, routing.Ejection{})
	for _, reason := range []string{"corrupt", "corrupt", "peer_silent"} {
		i.End(start, routing.Sample{Result: routing.Failed, Reason: reason})
	}
	i.End(start, routing.Sample{Result: routing.Shed, Rank: 5, Reason: "overload"})
	stats := i.Stats(start)
	is.Equal(stats.Ejection, routing.Ejection{Reason: routing.ConsecutiveFailures, Failures: 3, LastFailure: "peer_silent", At: start})
	is.Equal(stats.LastShed, routing.ShedEvidence{Reason: routing.ShedReply, InstanceReason: "overload", At: start})
}

func TestFailingInstanceLosesZonePreference(t *testing.T) {
	is := is.New(t)
	s := newSet(3)
	for _, result := range []routing.Result{routing.Failed, routing.Failed, routing.Good} {
		s.Find("node_0").End(start, routing.Sample{Result: result, Latency: time.Millisecond})
	}
	i, ok := s.Choose(start, rand.New(rand.NewPCG(1, 1)), routing.Request{})
	is.True(ok)
	is.True(i.Member.Node != "node_0")
}

func TestEjectionEnds(t *testing.T) {
	is := is.New(t)
	s := newSet(9)
	nodes := uniform(9, behaviour{latency: 20 * time.Millisecond, result: routing.Good})
	nodes["node_0"] = behaviour{latency: time.Millisecond, result: routing.Failed}
	sendRequests(s, start, 1000, 5*time.Millisecond, nodes)
	nodes["node_0"] = nodes["node_3"]
	later := start.Add(10 * time.Second)
	sendRequests(s, later, 1000, 5*time.Millisecond, nodes)
	// The sender's zone has three instances.
	is.True(sendRequests(s, later.Add(5*time.Second), 1000, 5*time.Millisecond, nodes)["node_0"] > 250)
}

func TestNewInstanceStartsSlowly(t *testing.T) {
	is := is.New(t)
	nodes := uniform(9, behaviour{latency: 20 * time.Millisecond, result: routing.Good})
	s := newSet(6)
	sendRequests(s, start, 500, 2*time.Millisecond, nodes)
	s.Update(start.Add(time.Second), members(9))
	first := sendRequests(s, start.Add(time.Second), 500, 2*time.Millisecond, nodes)
	last := sendRequests(s, start.Add(8*time.Second), 500, 2*time.Millisecond, nodes)
	is.True(first["node_6"] < first["node_0"]/2)
	is.True(last["node_6"] > last["node_0"]/2)
}

func TestShedAndTriedInstancesAreAvoided(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	s := newSet(2)
	s.Find("node_0").End(start, routing.Sample{Result: routing.Shed, Rank: 5})
	choose := func(r routing.Request) string {
		i, ok := s.Choose(start, random, r)
		is.True(ok)
		return i.Member.Node
	}
	is.Equal(choose(routing.Request{Rank: 5}), "node_1")
	is.Equal(choose(routing.Request{Rank: 4}), "node_0") // more urgent than the shed rank, and in the sender's zone
	is.Equal(choose(routing.Request{Rank: 4, Tried: []string{"node_0"}}), "node_1")
	_, ok := s.Choose(start, random, routing.Request{Tried: []string{"node_0", "node_1"}})
	is.True(!ok)
	s.Update(start, members(1))
	is.Equal(choose(routing.Request{Rank: 5}), "node_0") // the only instance left
	is.True(s.Find("node_1") == nil)
}

func TestSubsets(t *testing.T) {
	is := is.New(t)
	const instances, senders = 300, 240
	users := map[string]int{}
	for i := range senders {
		config := routing.DefaultConfig(fmt.Sprint("sender_", i), fmt.Sprint("z", i%3))
		s, again := routing.NewSet(config), routing.NewSet(config)
		s.Update(start, members(instances))
		again.Update(start, members(instances-1))
		is.Equal(s.Len(), config.SubsetSize)
		otherZones, kept := 0, 0
		for _, m := range members(instances) {
			if s.Find(m.Node) == nil {
				continue
			}
			users[m.Node]++
			if m.Zone != config.Zone {
				otherZones++
			}
			if again.Find(m.Node) != nil {
				kept++
			}
		}
		is.Equal(otherZones, config.SubsetOtherZones)
		is.True(kept >= config.SubsetSize-1) // a member that leaves changes at most one instance of the subset
	}
	is.Equal(len(users), instances) // every instance is in some subset
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{12, 300, 2100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := newSet(count)
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				i, _ := s.Choose(start, random, routing.Request{Rank: 3})
				i.Begin(3)
				i.End(start, routing.Sample{Result: routing.Good, Latency: time.Millisecond, Rank: 3})
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, count := range []int{12, 300, 2100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s, list := newSet(count), members(count)
			b.ReportAllocs()
			for b.Loop() {
				s.Update(start, list)
			}
		})
	}
}
