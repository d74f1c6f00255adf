package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
)

const (
	simulatedServiceTime = 80 * time.Millisecond
	simulatedStep        = time.Millisecond
)

// fleet simulates nodes that admit requests through a gate and send requests to each other.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	sets    []*routing.Set
	gates   []*admission.Gate
	endings map[time.Time][]func()
	// callbacks holds, for each ticket without a decision, the function that is called with it: whether the request ran.
	callbacks map[*admission.Ticket]func(ran bool)
	// answered and refused count requests by kind.
	answered, refused map[string]int
}

func newFleet(seed uint64, instances int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: start,
		endings: map[time.Time][]func(){}, callbacks: map[*admission.Ticket]func(bool){},
		answered: map[string]int{}, refused: map[string]int{},
	}
	var list []routing.Member
	for i := range instances {
		list = append(list, routing.Member{Node: fmt.Sprint("node_", i), Zone: "z", Slots: slots})
		gate := admission.NewGate(admission.GateConfig{
			Limit: admission.LimitConfig{
				Initial: 8, Min: 1, Max: 1000, Tolerance: 2, LatencySlack: 5 * time.Millisecond, DecreaseFactor: 0.7, TrialDecreaseFactor: 0.8, GrowthRatio: 0.1,
				Window: 100 * time.Millisecond, MaxWindow: time.Second, KindRetention: time.Minute, TrialDelay: 5 * time.Second, MaxTrialDelay: 30 * time.Second,
			},
			QueuePerSlot: 4, MaxDelayLeastUrgent: 100 * time.Millisecond, MaxDelayMostUrgent: 300 * time.Millisecond, ReserveInterval: 20 * time.Millisecond, MaxRetryAfter: 3 * time.Second,
		})
		gate.Announce(slots, 100)
		f.gates = append(f.gates, gate)
	}
	for _, m := range list {
		s := routing.NewSet(routing.DefaultConfig(m.Node, "z"))
		s.Update(start, list)
		f.sets = append(f.sets, s)
	}
	return f
}

// send sends one request from a random node.
func (f *fleet) send(rank int, kind string) {
	i, _ := f.sets[f.random.IntN(len(f.sets))].Choose(f.now, f.random, routing.Request{Rank: rank, Kind: kind})
	gate, began := f.gateOf(i), f.now
	i.Begin(rank)
	t := &admission.Ticket{Rank: rank, Kind: kind, Share: 1, Caller: "app", RootStart: f.now, Deadline: f.now.Add(2 * time.Second)}
	reply := func(result routing.Result) {
		load := routing.Load{InFlight: gate.InFlight(), Queued: gate.Queued(), Limit: gate.LimitValue(), SheddingRank: gate.SheddingRank(f.now)}
		i.End(f.now, routing.Sample{Result: result, Latency: f.now.Sub(began), Rank: rank, Kind: kind, Load: load})
	}
	f.callbacks[t] = func(ran bool) {
		delete(f.callbacks, t)
		if !ran {
			f.refused[kind]++
			reply(routing.Shed)
			return
		}
		serviceTime := time.Duration(float64(simulatedServiceTime) * (0.7 + 0.6*f.random.Float64())).Truncate(simulatedStep)
		end := f.now.Add(serviceTime)
		f.endings[end] = append(f.endings[end], func() {
			f.answered[kind]++
			f.settle(gate.Finish(f.now, admission.Sample{Kind: kind, ServiceTime: serviceTime, HoldTime: serviceTime}))
			reply(routing.Good)
		})
	}
	verdict := gate.Offer(f.now, t)
	for _, d := range verdict.Displaced {
		f.callbacks[d.Ticket](false)
	}
	if verdict.Action != admission.Enqueue {
		f.callbacks[t](verdict.Action == admission.Run)
	}
}

func (f *fleet) gateOf(i *routing.Instance) *admission.Gate {
	var number int
	_, _ = fmt.Sscanf(i.Member.Node, "node_%d", &number)
	return f.gates[number]
}

func (f *fleet) settle(next admission.Dequeued) {
	for _, e := range next.Expired {
		f.callbacks[e.Ticket](false)
	}
	for _, t := range next.Run {
		f.callbacks[t](true)
	}
}

// stream is a request kind with its rank and its rate in requests per second.
type stream struct {
	kind string
	rank int
	rate float64
}

// run sends the streams for the duration d.
func (f *fleet) run(d time.Duration, streams []stream) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simulatedStep) {
		for _, e := range f.endings[f.now] {
			e()
		}
		delete(f.endings, f.now)
		for _, g := range f.gates {
			f.settle(g.Advance(f.now))
		}
		for _, s := range streams {
			if f.random.Float64() < s.rate*simulatedStep.Seconds() {
				f.send(s.rank, s.kind)
			}
		}
	}
}

// TestUrgentRequestsSpreadDuringAFlood guards against urgent requests gathering on one instance during a flood,
// because an instance that runs only urgent requests looks fast. Less urgent requests within their share must still
// be served there.
func TestUrgentRequestsSpreadDuringAFlood(t *testing.T) {
	ordinary := []stream{{"sheets", 0, 100}, {"orders", 5, 40}}
	flood := append([]stream{{"lookups", 5, 375}, {"archive", 8, 375}}, ordinary...)
	const seeds = 10
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(seed, 2)
			f.run(500*time.Millisecond, ordinary)
			f.run(3*time.Second, flood)
			f.run(time.Second, ordinary)
			for _, s := range ordinary {
				lost := float64(f.refused[s.kind]) / float64(f.refused[s.kind]+f.answered[s.kind])
				t.Logf("%d of %s refused, %d answered", f.refused[s.kind], s.kind, f.answered[s.kind])
				is.True(lost <= 0.01) // 99% within their share are served
			}
		})
	}
}
