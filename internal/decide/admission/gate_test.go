package admission_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testConfig() admission.GateConfig {
	return admission.GateConfig{
		Limit: admission.LimitConfig{
			Initial: 8, Min: 1, Max: 1000, Tolerance: 2, LatencySlack: 5 * time.Millisecond, DecreaseFactor: 0.7, TrialDecreaseFactor: 0.8, GrowthRatio: 0.1,
			Window: 100 * time.Millisecond, MaxWindow: time.Second, KindRetention: time.Minute, TrialDelay: 5 * time.Second, MaxTrialDelay: 30 * time.Second,
		},
		QueuePerSlot: 4, MaxDelayLeastUrgent: 100 * time.Millisecond, MaxDelayMostUrgent: 300 * time.Millisecond,
		ReserveInterval: 20 * time.Millisecond, MaxRetryAfter: 3 * time.Second,
	}
}

func newTicket(now time.Time, rank int, kind, caller string) *admission.Ticket {
	return &admission.Ticket{Rank: rank, Kind: kind, Share: 1, Caller: caller, RootStart: now, Deadline: now.Add(time.Second)}
}

// model tracks the tickets offered to a gate and checks each of the gate's decisions.
type model struct {
	*rapid.T
	gate    *admission.Gate
	now     time.Time
	queued  map[*admission.Ticket]bool
	running []*admission.Ticket
}

func (m *model) answered(t *admission.Ticket) {
	if !m.queued[t] {
		m.Fatalf("ticket of rank %d was answered but was not queued", t.Rank)
	}
	delete(m.queued, t)
}

func (m *model) run(t *admission.Ticket) {
	for w := range m.queued {
		if w.Rank < t.Rank {
			m.Fatalf("a ticket of rank %d runs while one of rank %d is queued", t.Rank, w.Rank)
		}
	}
	m.running = append(m.running, t)
	if len(m.running) > m.gate.LimitValue() {
		m.Fatalf("%d requests are in flight with a limit of %d", len(m.running), m.gate.LimitValue())
	}
}

func (m *model) refused(r admission.Refusal) {
	if r.RetryAfter <= 0 {
		m.Fatalf("refusal without a positive RetryAfter")
	}
	if r.Cause != admission.Overload {
		return
	}
	for w := range m.queued {
		if w.Rank > r.Ticket.Rank {
			m.Fatalf("a ticket of rank %d is shed while one of rank %d is queued", r.Ticket.Rank, w.Rank)
		}
	}
}

func (m *model) apply(next admission.Dequeued) {
	for _, e := range next.Expired {
		m.answered(e.Ticket)
		m.refused(e)
	}
	for _, t := range next.Run {
		m.answered(t)
		m.run(t)
	}
}

func (m *model) offer(t *admission.Ticket) {
	verdict := m.gate.Offer(m.now, t)
	m.queued[t] = true
	for _, d := range verdict.Displaced {
		m.answered(d.Ticket)
	}
	switch verdict.Action {
	case admission.Run:
		delete(m.queued, t)
		m.run(t)
	case admission.Shed:
		m.answered(t)
		m.refused(verdict.Refusal)
	}
	for _, d := range verdict.Displaced {
		m.refused(d)
	}
}

func (m *model) finish(i int, s admission.Sample) {
	s.Kind = m.running[i].Kind
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.apply(m.gate.Finish(m.now, s))
}

func TestGateAnswersEachTicketOnce(t *testing.T) {
	kinds := rapid.SampledFrom([]string{"sheets", "bookings", "archive"})
	rapid.Check(t, func(r *rapid.T) {
		m := &model{T: r, gate: admission.NewGate(testConfig()), now: epoch, queued: map[*admission.Ticket]bool{}}
		m.gate.Announce(rapid.IntRange(1, 12).Draw(r, "slots"), 100)
		r.Repeat(map[string]func(*rapid.T){
			"offer": func(r *rapid.T) {
				ticket := newTicket(m.now, rapid.IntRange(0, 9).Draw(r, "rank"), kinds.Draw(r, "kind"), kinds.Draw(r, "caller"))
				ticket.Share = rapid.IntRange(1, 5).Draw(r, "share")
				ticket.RootStart = m.now.Add(-time.Duration(rapid.IntRange(0, 50).Draw(r, "age")) * time.Millisecond)
				ticket.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(r, "deadline")) * time.Millisecond)
				m.offer(ticket)
			},
			"finish": func(r *rapid.T) {
				if len(m.running) == 0 {
					r.Skip()
				}
				took := time.Duration(rapid.IntRange(1, 200).Draw(r, "took")) * time.Millisecond
				m.finish(rapid.IntRange(0, len(m.running)-1).Draw(r, "which"), admission.Sample{
					ServiceTime: took, HoldTime: took, Overloaded: rapid.IntRange(0, 9).Draw(r, "overloaded") == 0,
				})
			},
			"cancel": func(r *rapid.T) {
				if len(m.running) == 0 {
					r.Skip()
				}
				m.running = m.running[1:]
				m.apply(m.gate.Cancel(m.now))
			},
			"withdraw": func(r *rapid.T) {
				for ticket := range m.queued {
					m.gate.Withdraw(ticket)
					m.answered(ticket)
					return
				}
				r.Skip()
			},
			"pass": func(r *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(r, "time")) * time.Millisecond)
				m.apply(m.gate.Advance(m.now))
			},
			"pass unnoticed": func(r *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(r, "time")) * time.Millisecond)
			},
			"": func(r *rapid.T) {
				if m.gate.InFlight() != len(m.running) || m.gate.Queued() != len(m.queued) {
					r.Fatalf("gate has %d in flight and %d queued, want %d and %d", m.gate.InFlight(), m.gate.Queued(), len(m.running), len(m.queued))
				}
			},
		})
		m.now = m.now.Add(time.Minute)
		m.apply(m.gate.Advance(m.now))
		if len(m.queued) > 0 {
			r.Fatalf("%d tickets were never answered", len(m.queued))
		}
	})
}

func TestOfferRefusesUnreachableDeadline(t *testing.T) {
	tests := map[string]struct {
		deadline time.Duration
		pause    time.Duration
		want     admission.Action
	}{
		"deadline has passed":             {0, 0, admission.Shed},
		"less time than the hold time":    {20 * time.Millisecond, 0, admission.Shed},
		"enough time":                     {80 * time.Millisecond, 0, admission.Run},
		"hold time is outdated":           {20 * time.Millisecond, 2 * time.Second, admission.Run},
		"passed, and no recent hold time": {-time.Millisecond, 2 * time.Second, admission.Shed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate, now := admission.NewGate(testConfig()), epoch
			for range 20 {
				gate.Offer(now, newTicket(now, 0, "sheets", "crew"))
				now = now.Add(50 * time.Millisecond)
				gate.Finish(now, admission.Sample{Kind: "sheets", ServiceTime: 50 * time.Millisecond, HoldTime: 50 * time.Millisecond})
			}
			now = now.Add(test.pause)
			ticket := newTicket(now, 0, "sheets", "crew")
			ticket.Deadline = now.Add(test.deadline)
			is.Equal(gate.Offer(now, ticket).Action, test.want)
		})
	}
}

// A request that the backend server sheds frees no slot of the backend server. Without a pause, the gate would send it
// the whole queue at once, to be shed too.
func TestPauseAfterBackendServerSheds(t *testing.T) {
	is := is.New(t)
	gate := admission.NewGate(testConfig())
	for range 8 + 20 {
		gate.Offer(epoch, newTicket(epoch, 5, "lookups", "a"))
	}
	for range 7 {
		next := gate.Finish(epoch, admission.Sample{Kind: "lookups", Overloaded: true})
		is.Equal(len(next.Run), 0)
	}
	is.True(len(gate.Advance(epoch.Add(60*time.Millisecond)).Run) > 0) // the pause ends after a time
}

// A flood of one kind, or from one caller, must not take the share of others of the same rank.
func TestFloodWithinRank(t *testing.T) {
	tests := map[string]struct {
		flood, other         *admission.Ticket
		otherRate, wantOther float64
	}{
		"one kind floods":          {newTicket(epoch, 5, "lookups", "a"), newTicket(epoch, 5, "orders", "a"), 50, 0.99},
		"one caller floods":        {newTicket(epoch, 5, "lookups", "a"), newTicket(epoch, 5, "lookups", "b"), 50, 0.99},
		"both want more than half": {newTicket(epoch, 5, "lookups", "a"), newTicket(epoch, 5, "orders", "b"), 400, 0.22},
		"the flood is less urgent": {newTicket(epoch, 7, "lookups", "a"), newTicket(epoch, 5, "orders", "a"), 150, 0.99},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(10, 10, 50*time.Millisecond) // 200 requests a second
			s.stream(1000, test.flood)
			s.stream(test.otherRate, test.other)
			s.run(5 * time.Second)
			s.finishAll()
			good := float64(s.good[label(test.other)]) / float64(s.sent[label(test.other)])
			is.True(good >= test.wantOther)
			total := s.good[label(test.other)] + s.good[label(test.flood)]
			is.True(total >= 900) // nine tenths of what 10 slots can serve in 5 s
		})
	}
}

func TestRefusalsCarryRetryAfter(t *testing.T) {
	is := is.New(t)
	s := newSimulation(10, 10, 50*time.Millisecond)
	s.stream(100, newTicket(epoch, 0, "sheets", "a"))
	s.stream(1000, newTicket(epoch, 7, "archive", "a"))
	s.run(3 * time.Second)
	is.True(s.gate.RetryAfter(7) > 4*s.gate.RetryAfter(0)) // ten times what is left for rank 7 is offered
	is.Equal(s.gate.SheddingRank(s.now), 8)
	s.finishAll()
	is.Equal(s.gate.SheddingRank(s.now), 0)                           // no rank is being shed any more
	is.True(s.gate.RetryAfter(7) <= 300*time.Millisecond)             // the offered ratio is low again
	is.True(s.longestRefusal <= 300*time.Millisecond)                 // the maximum delay of rank 0
	is.Equal(s.good["sheets a"], s.sent["sheets a"])                  // no urgent request was refused
	is.True(s.longestQueueingDelay["sheets a"] < 60*time.Millisecond) // nor queued for longer than about one service time
}

// fullGate returns a gate with all 10 slots in use and the given number of queued tickets of all ranks.
func fullGate(queued int) *admission.Gate {
	config := testConfig()
	config.MaxDelayLeastUrgent, config.MaxDelayMostUrgent, config.QueuePerSlot = time.Hour, time.Hour, float64(queued)/10
	config.Limit.Initial = 10
	gate := admission.NewGate(config)
	gate.Announce(10, 10)
	for i := range queued + 10 {
		t := newTicket(epoch, i%10, fmt.Sprint("kind ", i%3), fmt.Sprint("caller ", i%100))
		t.Deadline = epoch.Add(time.Hour)
		gate.Offer(epoch, t)
	}
	return gate
}

// BenchmarkOfferFinish finishes a request, which starts a queued ticket, and offers the started ticket again.
func BenchmarkOfferFinish(b *testing.B) {
	for _, queued := range []int{12, 300, 2100} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			gate, now := fullGate(queued), epoch
			sample := admission.Sample{Kind: "kind 0", ServiceTime: 50 * time.Millisecond, HoldTime: 50 * time.Millisecond}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				for _, t := range gate.Finish(now, sample).Run {
					gate.Offer(now, t)
				}
			}
		})
	}
}

// BenchmarkShed offers tickets that are shed without being queued.
func BenchmarkShed(b *testing.B) {
	for _, queued := range []int{12, 300, 2100} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			gate := fullGate(queued)
			t := newTicket(epoch.Add(time.Second), 9, "kind 0", "caller 0")
			t.Deadline = epoch.Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				gate.Offer(epoch, t)
			}
		})
	}
}
