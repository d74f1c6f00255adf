package routing

import (
	"math"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// latency is the peak-weighted average latency of one group of requests at an instance; zero if there is none. A
// sample above the average replaces it at once, and the average then decays towards lower samples.
type latency struct {
	peakAverage time.Duration
	// average is a plain moving average, without the weight on peaks.
	average   time.Duration
	updatedAt time.Time
}

// averageWeight is the weight of one sample in the plain moving average.
const averageWeight = 0.05

// observe returns the latency updated with one sample.
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

// latencyExpiry is the age, in time constants, at which a latency is no longer used.
const latencyExpiry = 5

// isRecent reports whether the last sample is recent enough for the latency to be used.
func (l latency) isRecent(now time.Time, timeConstant time.Duration) bool {
	return l.peakAverage > 0 && now.Sub(l.updatedAt) < latencyExpiry*timeConstant
}

// maxKinds limits the request classes whose latency an instance keeps separately, and the kinds in the averages by
// kind. Requests of further classes are recorded under their rank only.
const maxKinds = 256

// requestClass identifies requests of the same rank and kind.
type requestClass struct {
	rank int
	kind string
}

// latencies holds the latency of an instance by rank and by request class. Requests are queued in an instance by
// rank, and within a rank by the share of their kind, so the latency of requests that are queued longer says nothing
// about the others. With one common average, an instance that runs none of the slow requests would look fast for all.
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

// dropExpired removes the request classes without a recent sample.
func (l *latencies) dropExpired(now time.Time, timeConstant time.Duration) {
	for class, observed := range l.byClass {
		if !observed.isRecent(now, timeConstant) {
			delete(l.byClass, class)
		}
	}
}

// latest returns the peak-weighted latency of the rank that was answered most recently.
func (l *latencies) latest() time.Duration {
	var latest latency
	for _, r := range l.byRank {
		if r.updatedAt.After(latest.updatedAt) {
			latest = r
		}
	}
	return latest.peakAverage
}

// comparablePair returns the latencies by which two instances are compared for a request: those of the same class,
// else of the same rank, else of the nearest more urgent rank for which both instances have a recent sample. It
// reports false if there is no such pair.
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
