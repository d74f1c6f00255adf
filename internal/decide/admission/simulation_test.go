package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

// simulation runs a gate in front of a simulated backend server, in simulated time. The backend server has slots and a
// first-in first-out queue.
type simulation struct {
	gate        *admission.Gate
	random      *rand.Rand
	now         time.Time
	serviceTime time.Duration
	slots       int
	maxBacklog  int

	// requeues is how often a request that the backend server sheds may be requeued, and requeued counts that by ticket.
	requeues int
	requeued map[*admission.Ticket]int

	streams []*stream
	events  events
	busy    int
	backlog []*admission.Ticket
	started map[*admission.Ticket]time.Time
	offered map[*admission.Ticket]time.Time

	sent, good           map[string]int
	ended, refused       int
	arrived              int
	peak                 int
	longestRefusal       time.Duration
	longestQueueingDelay map[string]time.Duration
}

type stream struct {
	interval time.Duration
	template admission.Ticket
	next     time.Time
}

type event struct {
	at     time.Time
	ticket *admission.Ticket
	// offer reports whether the event offers the ticket to the gate; otherwise the event ends the ticket's request.
	offer bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(announced, slots int, serviceTime time.Duration) *simulation {
	s := &simulation{
		gate: admission.NewGate(testConfig()), random: rand.New(rand.NewPCG(1, 2)), now: epoch, serviceTime: serviceTime, slots: slots, maxBacklog: 1000,
		started: map[*admission.Ticket]time.Time{}, offered: map[*admission.Ticket]time.Time{},
		requeued: map[*admission.Ticket]int{}, sent: map[string]int{}, good: map[string]int{}, longestQueueingDelay: map[string]time.Duration{},
	}
	s.gate.Announce(announced, 300)
	return s
}

func label(t *admission.Ticket) string {
	return t.Kind + " " + t.Caller
}

func (s *simulation) stream(rate float64, template *admission.Ticket) {
	s.streams = append(s.streams, &stream{interval: time.Duration(float64(time.Second) / rate), template: *template, next: s.now})
}

// run advances the time by d in steps of a millisecond.
func (s *simulation) run(d time.Duration) {
	s.peak, s.ended, s.refused, s.arrived = 0, 0, 0, 0
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			s.handle(heap.Pop(&s.events).(event))
		}
		for _, stream := range s.streams {
			for ; !stream.next.After(s.now); stream.next = stream.next.Add(time.Duration(s.random.ExpFloat64() * float64(stream.interval))) {
				s.offer(stream.template)
			}
		}
		s.apply(s.gate.Advance(s.now))
		s.peak = max(s.peak, s.gate.InFlight())
	}
}

// finishAll stops the load and waits for the requests in flight.
func (s *simulation) finishAll() {
	s.streams = nil
	s.run(2 * time.Second)
}

func (s *simulation) offer(t admission.Ticket) {
	t.RootStart, t.Deadline = s.now, s.now.Add(time.Second)
	s.sent[label(&t)]++
	s.arrived++
	s.arrive(&t)
}

func (s *simulation) handle(e event) {
	if e.offer {
		s.arrive(e.ticket)
		return
	}
	s.finish(e.ticket)
}

// arrive offers a ticket to the gate.
func (s *simulation) arrive(t *admission.Ticket) {
	s.offered[t] = s.now
	if s.gate.Offer(s.now, t).Action == admission.Run {
		s.send(t)
	}
}

func (s *simulation) apply(next admission.Dequeued) {
	for _, t := range next.Run {
		s.send(t)
	}
	for _, e := range next.Expired {
		s.longestRefusal = max(s.longestRefusal, s.now.Sub(s.offered[e.Ticket]))
	}
}

// send sends a request to the backend server.
func (s *simulation) send(t *admission.Ticket) {
	s.longestQueueingDelay[label(t)] = max(s.longestQueueingDelay[label(t)], s.now.Sub(s.offered[t]))
	s.started[t] = s.now
	switch {
	case s.busy < s.slots:
		s.begin(t)
	case len(s.backlog) < s.maxBacklog:
		s.backlog = append(s.backlog, t)
	default:
		s.refused++
		s.apply(s.gate.Finish(s.now, admission.Sample{Kind: t.Kind, Overloaded: true}))
		s.requeue(t)
	}
}

// requeue offers a request that the backend server shed to the gate again.
func (s *simulation) requeue(t *admission.Ticket) {
	delay, again := retry.DecideRequeue(retry.RequeueCandidate{
		Shed: true, SafeToRepeat: true, AttemptsLeft: s.requeues - s.requeued[t], TimeLeft: t.Deadline.Sub(s.now), HoldTime: s.gate.HoldTime(),
	})
	if !again {
		return
	}
	next := *t
	s.requeued[&next] = s.requeued[t] + 1
	heap.Push(&s.events, event{at: s.now.Add(delay), ticket: &next, offer: true})
}

func (s *simulation) begin(t *admission.Ticket) {
	s.busy++
	took := time.Duration(float64(s.serviceTime) * (0.7 + 0.6*s.random.Float64()))
	heap.Push(&s.events, event{at: s.now.Add(took), ticket: t})
}

func (s *simulation) finish(t *admission.Ticket) {
	s.busy--
	for len(s.backlog) > 0 && s.busy < s.slots {
		s.begin(s.backlog[0])
		s.backlog = s.backlog[1:]
	}
	took := s.now.Sub(s.started[t])
	if !s.now.After(t.Deadline) {
		s.good[label(t)]++
		s.ended++
	}
	s.apply(s.gate.Finish(s.now, admission.Sample{Kind: t.Kind, ServiceTime: took, HoldTime: took}))
}

// The limit must find the capacity of the backend server regardless of the announced slots, and keep requests queued at
// the gate rather than in the backend server.
func TestLimitFindsCapacity(t *testing.T) {
	tests := map[string]struct {
		announced, slots, queue int
		service                 time.Duration
		wantPeak                int
	}{
		"announces its slots":            {35, 35, 100, 100 * time.Millisecond, 44},
		"announces ten times its slots":  {100, 10, 1000, 50 * time.Millisecond, 30},
		"announces a tenth of its slots": {4, 40, 100, 50 * time.Millisecond, 60},
		"sheds above its slots":          {100, 10, 0, 50 * time.Millisecond, 30},
		"slow work":                      {35, 35, 100, 200 * time.Millisecond, 44},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(test.announced, test.slots, test.service)
			s.maxBacklog = test.queue
			capacity := float64(test.slots) / test.service.Seconds()
			s.stream(1.5*capacity, newTicket(epoch, 5, "lookups", "a"))
			s.run(20 * time.Second)
			s.run(5 * time.Second)
			t.Logf("%d of %.0f possible ended, peak %d, limit %d", s.ended, 5*capacity, s.peak, s.gate.LimitValue())
			is.True(float64(s.ended) >= 0.9*5*capacity) // nine tenths of the capacity
			is.True(s.peak <= test.wantPeak)
		})
	}
}

// After a slow period of any length, goodput must recover within 5 s.
func TestLimitRecovers(t *testing.T) {
	tests := map[string]struct {
		slowPeriod time.Duration
		service    time.Duration
		slots      int
		queue      int
	}{
		"slow for 5 s":             {5 * time.Second, 500 * time.Millisecond, 35, 1000},
		"slow for half a minute":   {30 * time.Second, 500 * time.Millisecond, 35, 1000},
		"one slot, sheds the rest": {10 * time.Second, 100 * time.Millisecond, 1, 0},
		"nearly stopped for 10 s":  {10 * time.Second, 2 * time.Second, 35, 1000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(35, 35, 40*time.Millisecond)
			s.stream(700, newTicket(epoch, 5, "lookups", "a")) // four fifths of the capacity
			s.run(10 * time.Second)
			s.run(5 * time.Second)
			before := float64(s.ended) / float64(s.arrived)
			s.serviceTime, s.slots, s.maxBacklog = test.service, test.slots, test.queue
			s.run(test.slowPeriod / 2)
			refused := s.refused
			s.run(test.slowPeriod / 2)
			limit := s.gate.LimitValue()
			t.Logf("%d ended in the second half of the slow period, %d refused by the backend server in the first half", s.ended, refused)
			if test.service < time.Second {
				possible := float64(test.slots) * float64(test.slowPeriod/2) / float64(test.service)
				is.True(float64(s.ended) >= 0.9*possible)
			}
			s.serviceTime, s.slots, s.maxBacklog = 40*time.Millisecond, 35, 1000
			s.run(5 * time.Second)
			s.run(5 * time.Second)
			after := float64(s.ended) / float64(s.arrived)
			t.Logf("limit %d at the end of the slow period, %d now; %.3f served before, %.3f now", limit, s.gate.LimitValue(), before, after)
			is.True(after >= 0.95*before)
		})
	}
}

// The limit must shrink after a backend server permanently lost slots, although it handled more requests before.
func TestLimitFollowsLostSlots(t *testing.T) {
	is := is.New(t)
	s := newSimulation(35, 35, 40*time.Millisecond)
	s.stream(700, newTicket(epoch, 5, "lookups", "a"))
	s.run(10 * time.Second)
	s.slots = 10
	s.run(30 * time.Second)
	s.run(5 * time.Second)
	t.Logf("%d of 1250 possible ended, peak %d", s.ended, s.peak)
	is.True(s.ended >= 1125) // nine tenths
	is.True(s.peak <= 30)
}

func TestColdStartRamps(t *testing.T) {
	is := is.New(t)
	s := newSimulation(200, 200, 200*time.Millisecond)
	is.True(s.gate.LimitValue() <= 8)
	s.stream(1200, newTicket(epoch, 5, "lookups", "a"))
	s.run(3 * time.Second)
	s.run(time.Second)
	is.True(s.ended >= 900) // nine tenths of 1000 a second
}

// A backend server that announces more slots than it has sheds requests itself, regardless of rank. Shed requests are
// requeued at the gate, which starts the urgent ones first; without that, urgent requests are lost.
func TestRequeueProtectsUrgentWork(t *testing.T) {
	const service, slots = 100 * time.Millisecond, 10
	for name, test := range map[string]struct {
		requeues int
		// enough reports whether 99% of the urgent requests are served.
		enough bool
	}{
		"no requeue":   {0, false},
		"one requeue":  {1, true},
		"two requeues": {2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(3*slots, slots, service)
			s.maxBacklog, s.requeues = 0, test.requeues
			possible := slots / service.Seconds()
			urgent := newTicket(s.now, 0, "sheets", "a")
			s.stream(possible/4, urgent)
			s.stream(1.5*possible, newTicket(s.now, 5, "lookups", "b"))
			s.run(10 * time.Second)
			is.True(s.refused > 0)
			s.finishAll()
			served := float64(s.good[label(urgent)]) / float64(s.sent[label(urgent)])
			t.Logf("%.3f of the urgent requests served", served)
			is.Equal(served >= 0.99, test.enough)
		})
	}
}
