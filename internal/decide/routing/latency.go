package routing

import (
	"math"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// latency is the peak-weighted mean latency of some of an instance's requests; zero where none is known.
type latency struct {
	value time.Duration
	// mean gives no more weight to peaks.
	mean time.Duration
	at   time.Time
}

// meanWeight is the weight of one answer in the mean.
const meanWeight = 0.05

// learn takes a peak at once and forgets it with time.
func (l latency) learn(now time.Time, took, fade time.Duration) latency {
	mean := l.mean + time.Duration(meanWeight*float64(took-l.mean))
	if l.mean == 0 {
		mean = took
	}
	if took < l.value {
		kept := math.Exp(-float64(now.Sub(l.at)) / float64(fade))
		took = time.Duration(kept*float64(l.value) + (1-kept)*float64(took))
	}
	return latency{value: took, mean: mean, at: now}
}

// latencyMemory is for how many times the time constant of fading a latency is known.
const latencyMemory = 5

// known reports whether such requests were answered lately.
func (l latency) known(now time.Time, fade time.Duration) bool {
	return l.value > 0 && now.Sub(l.at) < latencyMemory*fade
}

// maxKinds bounds the kinds of which an instance's latency is told apart; the others count with their ranks only.
const maxKinds = 256

// work names the requests of one kind and rank.
type work struct {
	rank int
	kind string
}

// latencies are told apart by rank and kind, because requests wait in an instance by rank, and within a rank by the
// share of their kind. What those that wait longer take says nothing about the others, and an instance where none of
// them is run would look quick to all.
type latencies struct {
	byRank [admission.Ranks]latency
	byWork map[work]latency
}

func (l *latencies) learn(now time.Time, w work, took, fade time.Duration) {
	l.byRank[w.rank] = l.byRank[w.rank].learn(now, took, fade)
	known, ok := l.byWork[w]
	if !ok && len(l.byWork) >= maxKinds {
		l.forget(now, fade)
	}
	if !ok && len(l.byWork) >= maxKinds {
		return
	}
	if l.byWork == nil {
		l.byWork = map[work]latency{}
	}
	l.byWork[w] = known.learn(now, took, fade)
}

// forget drops the kinds that were not answered lately.
func (l *latencies) forget(now time.Time, fade time.Duration) {
	for w, known := range l.byWork {
		if !known.known(now, fade) {
			delete(l.byWork, w)
		}
	}
}

// last returns the latency of the rank that was answered last.
func (l *latencies) last() time.Duration {
	var last latency
	for _, r := range l.byRank {
		if r.at.After(last.at) {
			last = r
		}
	}
	return last.value
}

// common returns the latencies by which two instances are compared for a request: those of its rank and kind, else of
// its rank, else of the least urgent of the more urgent ranks, where both have answered such requests lately.
func (l *latencies) common(now time.Time, w work, fade time.Duration, other *latencies) (latency, latency, bool) {
	own, others := l.byWork[w], other.byWork[w]
	if own.known(now, fade) && others.known(now, fade) {
		return own, others, true
	}
	for r := w.rank; r >= 0; r-- {
		own, others = l.byRank[r], other.byRank[r]
		if own.known(now, fade) && others.known(now, fade) {
			return own, others, true
		}
	}
	return latency{}, latency{}, false
}
