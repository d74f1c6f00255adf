package flow

import (
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// EjectionConfig sets when an instance that fails is passed over.
type EjectionConfig struct {
	// Failures in a row that eject an instance.
	Failures int
	// Time for which it stays ejected.
	Time time.Duration
	// SheddingTime is how long a shed request keeps others of its rank away.
	SheddingTime time.Duration
}

// view is what this node has seen of one instance.
type view struct {
	inFlight     int
	latency      time.Duration
	load         call.Load
	failures     int
	ejectedUntil time.Time
	sheddingRank int
	shedUntil    time.Time
}

// views are the views of all instances.
type views struct {
	config EjectionConfig

	mu     sync.Mutex
	byNode map[string]*view
}

func newViews(config EjectionConfig) *views {
	return &views{config: config, byNode: map[string]*view{}}
}

func (v *views) candidates(members []membership.Member, rank int, now time.Time) []routing.Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	candidates := make([]routing.Candidate, 0, len(members))
	for _, m := range members {
		w := v.view(m.Node)
		capacity := w.load.Limit
		if capacity == 0 {
			capacity = m.Slots
		}
		candidates = append(candidates, routing.Candidate{
			Node:     m.Node,
			Zone:     m.Zone,
			InFlight: w.inFlight,
			Latency:  w.latency,
			Capacity: capacity,
			Reported: w.load.InFlight + w.load.Queued,
			Ejected:  now.Before(w.ejectedUntil),
			Shedding: now.Before(w.shedUntil) && rank >= w.sheddingRank,
		})
	}
	return candidates
}

func (v *views) begin(node string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.view(node).inFlight++
}

func (v *views) end(node string, start, now time.Time, rank int, reply call.Reply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.view(node)
	w.inFlight--
	switch reply.Outcome {
	case call.Ran:
		w.failures = 0
		w.load = reply.Load
		w.learn(now.Sub(start))
	case call.NotRun, call.NotAdmitted:
		w.load = reply.Load
		w.sheddingRank = rank
		w.shedUntil = now.Add(v.config.SheddingTime)
	default:
		w.failures++
		if w.failures >= v.config.Failures {
			w.ejectedUntil = now.Add(v.config.Time)
		}
	}
}

// latencyWeight is the part that a sample below the mean has in it; a sample above counts at once.
const latencyWeight = 0.1

func (w *view) learn(took time.Duration) {
	if took > w.latency {
		w.latency = took
		return
	}
	w.latency += time.Duration(latencyWeight * float64(took-w.latency))
}

func (v *views) view(node string) *view {
	w, ok := v.byNode[node]
	if !ok {
		w = &view{}
		v.byNode[node] = w
	}
	return w
}
