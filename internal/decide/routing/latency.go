package routing

import (
	"math"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// latency is the peak-weighted mean latency of some of an instance's requests; zero where none is known.
type latency struct {
	peakAverage time.Duration
	// average gives no more weight to peaks.
	average   time.Duration
	updatedAt time.Time
}

// averageWeight is the weight of one answer in the mean.
const averageWeight = 0.05

// observe takes a peak at once and forgets it with time.
func (l latency) observe(now time.Time, sample, timeConstant time.Duration) latency {
	average := l.average + time.Duration(averageWeight*float64(sample-l.average))
	if l.average == 0 {
		average = sample
	}
	if sample < l.peakAverage {
		remaining := math.Exp(-float64(now.Sub(l.updatedAt)) / float64(timeConstant))
		sample = time.Duration(remaining*float64(l.peakAverage) + (1-remaining)*float64(sample))
	}
	return latency{peakAverage: sample, average: average, updatedAt: now}
}

// latencyExpiry is for how many times the time constant of fading a latency is known.
const latencyExpiry = 5

// isRecent reports whether such requests were answered lately.
func (l latency) isRecent(now time.Time, timeConstant time.Duration) bool {
	return l.peakAverage > 0 && now.Sub(l.updatedAt) < latencyExpiry*timeConstant
}

// maxKinds bounds the kinds of which an instance's latency is told apart; the others count with their ranks only.
const maxKinds = 256

// requestClass names the requests of one kind and rank.
type requestClass struct {
	rank int
	kind string
}

// latencies are told apart by rank and kind, because requests wait in an instance by rank, and within a rank by the
// share of their kind. What those that wait longer take says nothing about the others, and an instance where none of
// them is run would look quick to all.
type latencies struct {
	byRank  [admission.Ranks]latency
	byClass map[requestClass]latency
}

func (l *latencies) observe(now time.Time, class requestClass, sample, timeConstant time.Duration) {
	l.byRank[class.rank] = l.byRank[class.rank].observe(now, sample, timeConstant)
	previous, ok := l.byClass[class]
	if !ok && len(l.byClass) >= maxKinds {
		l.dropExpired(now, timeConstant)
	}
	if !ok && len(l.byClass) >= maxKinds {
		return
	}
	if l.byClass == nil {
		l.byClass = map[requestClass]latency{}
	}
	l.byClass[class] = previous.observe(now, sample, timeConstant)
}

// dropExpired drops the kinds that were not answered lately.
func (l *latencies) dropExpired(now time.Time, timeConstant time.Duration) {
	for class, observed := range l.byClass {
		if !observed.isRecent(now, timeConstant) {
			delete(l.byClass, class)
		}
	}
}

// latest returns the latency of the rank that was answered last.
func (l *latencies) latest() time.Duration {
	var latest latency
	for _, r := range l.byRank {
		if r.updatedAt.After(latest.updatedAt) {
			latest = r
		}
	}
	return latest.peakAverage
}

// comparablePair returns the latencies by which two instances are compared for a request: those of its rank and kind, else of
// its rank, else of the least urgent of the more urgent ranks, where both have answered such requests lately.
func (l *latencies) comparablePair(now time.Time, class requestClass, timeConstant time.Duration, other *latencies) (latency, latency, bool) {
	own, others := l.byClass[class], other.byClass[class]
	if own.isRecent(now, timeConstant) && others.isRecent(now, timeConstant) {
		return own, others, true
	}
	for r := class.rank; r >= 0; r-- {
		own, others = l.byRank[r], other.byRank[r]
		if own.isRecent(now, timeConstant) && others.isRecent(now, timeConstant) {
			return own, others, true
		}
	}
	return latency{}, latency{}, false
}
