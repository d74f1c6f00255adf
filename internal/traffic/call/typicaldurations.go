package call

import (
	"sync"
	"time"
)

const (
	// averageWeight is the weight of a new duration in the moving averages of its kind.
	averageWeight = 0.1
	// initialDeviationRatio is the ratio of the deviation to the duration after the first request of a kind.
	initialDeviationRatio = 0.5
	// deviationFactor is the number of average deviations above the average within which nearly all requests end.
	deviationFactor = 4
	// longestWindow is the number of requests after which the longest duration among them replaces that of the window before.
	longestWindow = 500
)

// durationStats holds moving averages of the durations of one kind and of their deviations from the average, and the longest ones.
type durationStats struct {
	duration  time.Duration
	deviation time.Duration
	// longest is the longest duration of the current window, which has observed requests, and previousLongest that of the
	// window before.
	longest, previousLongest time.Duration
	observed                 int
}

func newDurationStats(first time.Duration) *durationStats {
	return &durationStats{duration: first, deviation: time.Duration(initialDeviationRatio * float64(first)), longest: first, observed: 1}
}

// observe adds one duration.
func (s *durationStats) observe(duration time.Duration) {
	difference := duration - s.duration
	s.deviation += time.Duration(averageWeight * float64(difference.Abs()-s.deviation))
	s.duration += time.Duration(averageWeight * float64(difference))
	if s.observed == longestWindow {
		s.previousLongest, s.longest, s.observed = s.longest, 0, 0
	}
	s.longest = max(s.longest, duration)
	s.observed++
}

// longestExpected returns the time within which nearly all requests end, which is no shorter than any of the latest ones took.
func (s *durationStats) longestExpected() time.Duration {
	return max(s.duration+deviationFactor*s.deviation, s.longest, s.previousLongest)
}

// TypicalDurations holds the moving averages of the durations of requests by kind. It is safe for concurrent use.
type TypicalDurations[K comparable] struct {
	// maxKinds is the maximum number of kinds; 0 for no limit.
	maxKinds int

	mu     sync.Mutex
	byKind map[K]*durationStats
}

// NewTypicalDurations returns a TypicalDurations for at most maxKinds kinds; 0 for no limit.
func NewTypicalDurations[K comparable](maxKinds int) *TypicalDurations[K] {
	return &TypicalDurations[K]{maxKinds: maxKinds, byKind: map[K]*durationStats{}}
}

// Of returns the typical duration of the kind, or 0 if none is known.
func (d *TypicalDurations[K]) Of(kind K) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, known := d.byKind[kind]; known {
		return s.duration
	}
	return 0
}

// Longest returns the time within which nearly all requests of the kind end, also those that seldom take long, or 0 if none
// is known.
func (d *TypicalDurations[K]) Longest(kind K) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, known := d.byKind[kind]; known {
		return s.longestExpected()
	}
	return 0
}

// Observe records the duration of one request. It ignores a new kind if the maximum number of kinds is reached.
func (d *TypicalDurations[K]) Observe(kind K, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, known := d.byKind[kind]
	switch {
	case known:
		s.observe(duration)
	case d.maxKinds <= 0 || len(d.byKind) < d.maxKinds:
		d.byKind[kind] = newDurationStats(duration)
	}
}
