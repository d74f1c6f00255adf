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
)

// durationAverage holds moving averages of the durations of one kind and of their deviations from the average.
type durationAverage struct {
	duration  time.Duration
	deviation time.Duration
}

// observe adds one duration.
func (a *durationAverage) observe(duration time.Duration) {
	difference := duration - a.duration
	a.deviation += time.Duration(averageWeight * float64(difference.Abs()-a.deviation))
	a.duration += time.Duration(averageWeight * float64(difference))
}

// TypicalDurations holds the moving averages of the durations of requests by kind. It is safe for concurrent use.
type TypicalDurations[K comparable] struct {
	// maxKinds is the maximum number of kinds; 0 for no limit.
	maxKinds int

	mu     sync.Mutex
	byKind map[K]*durationAverage
}

// NewTypicalDurations returns a TypicalDurations for at most maxKinds kinds; 0 for no limit.
func NewTypicalDurations[K comparable](maxKinds int) *TypicalDurations[K] {
	return &TypicalDurations[K]{maxKinds: maxKinds, byKind: map[K]*durationAverage{}}
}

// Of returns the typical duration of the kind, or 0 if none is known.
func (d *TypicalDurations[K]) Of(kind K) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, known := d.byKind[kind]; known {
		return a.duration
	}
	return 0
}

// Longest returns the time within which nearly all requests of the kind end, or 0 if none is known.
func (d *TypicalDurations[K]) Longest(kind K) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a, known := d.byKind[kind]; known {
		return a.duration + deviationFactor*a.deviation
	}
	return 0
}

// Observe records the duration of one request. It ignores a new kind if the maximum number of kinds is reached.
func (d *TypicalDurations[K]) Observe(kind K, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, known := d.byKind[kind]
	switch {
	case known:
		a.observe(duration)
	case d.maxKinds <= 0 || len(d.byKind) < d.maxKinds:
		d.byKind[kind] = &durationAverage{duration: duration, deviation: time.Duration(initialDeviationRatio * float64(duration))}
	}
}
