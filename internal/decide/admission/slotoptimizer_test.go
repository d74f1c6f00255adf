package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// saturatedServer simulates a gate in front of a backend server that always has more requests than slots.
type saturatedServer struct {
	gate        *admission.Gate
	random      *rand.Rand
	now         time.Time
	completions completionHeap
	ended       int
	// slowFactor multiplies the service times while more than slowAbove requests are in flight.
	slowAbove  int
	slowFactor float64
	// timeFactor multiplies all service times.
	timeFactor float64
}

// completion is the end of a request.
type completion struct {
	at     time.Time
	sample admission.Sample
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSaturatedServer(slots int) *saturatedServer {
	config := testConfig()
	config.Limit.Fixed = true
	config.MaxDelayLeastUrgent, config.MaxDelayMostUrgent = time.Hour, time.Hour
	s := &saturatedServer{gate: admission.NewGate(config), random: rand.New(rand.NewPCG(1, 2)), now: epoch, slowAbove: slots, slowFactor: 1, timeFactor: 1}
	s.gate.Announce(slots, 10*slots)
	return s
}

const (
	quickWork = 30 * time.Millisecond
	longWork  = 60 * time.Millisecond
	// workSigma is the standard deviation of the logarithm of the work of one request.
	workSigma = 0.5
)

// run advances the time by d and returns how many requests ended in a second.
func (s *saturatedServer) run(d time.Duration) float64 {
	s.ended = 0
	for end := s.now.Add(d); s.now.Before(end); {
		for s.gate.Queued() < 4 {
			s.offer()
		}
		s.finish()
	}
	return float64(s.ended) / d.Seconds()
}

func (s *saturatedServer) offer() {
	kind := "quick"
	if s.random.IntN(4) == 0 {
		kind = "long"
	}
	t := &admission.Ticket{Kind: kind, Share: 1, RootStart: s.now, Deadline: s.now.Add(time.Hour)}
	if s.gate.Offer(s.now, t).Action == admission.Run {
		s.begin(t)
	}
}

func (s *saturatedServer) begin(t *admission.Ticket) {
	work := quickWork
	if t.Kind == "long" {
		work = longWork
	}
	took := float64(work) * s.timeFactor * math.Exp(workSigma*s.random.NormFloat64())
	if s.gate.InFlight() > s.slowAbove {
		took *= s.slowFactor
	}
	sample := admission.Sample{Kind: t.Kind, ServiceTime: time.Duration(took), HoldTime: time.Duration(took), SaturatedLimit: t.SaturatedLimit}
	heap.Push(&s.completions, completion{at: s.now.Add(time.Duration(took)), sample: sample})
}

func (s *saturatedServer) finish() {
	next := heap.Pop(&s.completions).(completion)
	s.now = next.at
	s.ended++
	for _, t := range s.gate.Finish(s.now, next.sample).Run {
		s.begin(t)
	}
}

// rate returns the expected number of requests that end in a second with the given number of slots in use.
func (s *saturatedServer) rate(slots int) float64 {
	mean := (3*quickWork + longWork).Seconds() / 4 * s.timeFactor * math.Exp(workSigma*workSigma/2)
	if slots > s.slowAbove {
		mean *= s.slowFactor
	}
	return float64(slots) / mean
}

// Some backend servers slow down when they are nearly full, so that all slots yield less throughput than fewer slots. The
// gate must find the level with the highest throughput.
func TestSlowdownNearFullSlots(t *testing.T) {
	for name, test := range map[string]struct {
		slots, slowAbove int
		slowBy           float64
	}{
		"twelve slots":             {12, 11, 1.3},
		"fifty slots":              {50, 47, 1.3},
		"many slots":               {165, 156, 1.3},
		"slow far below all slots": {60, 48, 1.6},
		"no slowdown":              {12, 12, 1},
		"many slots, no slowdown":  {165, 165, 1},
		"two slots":                {2, 1, 1.2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const settling, measured = 10 * time.Second, 40 * time.Second
			s := newSaturatedServer(test.slots)
			s.slowAbove, s.slowFactor = test.slowAbove, test.slowBy
			s.run(settling)
			got := s.run(measured)
			best := max(s.rate(test.slots), s.rate(test.slowAbove))
			t.Logf("%.0f requests a second, %.0f with all slots, %.0f at best", got, s.rate(test.slots), best)
			is.True(got >= 0.95*best)
		})
	}
}

// A slowdown that does not depend on the number of requests in flight must not reduce the slots in use.
func TestSlowBackendServerKeepsItsSlots(t *testing.T) {
	is := is.New(t)
	s := newSaturatedServer(50)
	for range 10 {
		s.timeFactor = 5
		s.run(3 * time.Second)
		s.timeFactor = 1
		s.run(3 * time.Second)
	}
	got := s.run(20 * time.Second)
	t.Logf("%.0f requests a second, %.0f at best", got, s.rate(50))
	is.True(got >= 0.95*s.rate(50))
}
