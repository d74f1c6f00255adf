package call

import (
	"sync"
	"time"
)

// averageWeight is the weight of a new duration in the moving average of its kind.
const averageWeight = 0.1

// TypicalDurations holds the moving average of the durations of requests by kind. It is safe for concurrent use.
type TypicalDurations[K comparable] struct {
	// maxKinds is the maximum number of kinds; 0 for no limit.
	maxKinds int

	mu     sync.Mutex
	byKind map[K]time.Duration
}

// NewTypicalDurations returns a TypicalDurations for at most maxKinds kinds; 0 for no limit.
func NewTypicalDurations[K comparable](maxKinds int) *TypicalDurations[K] {
	return &TypicalDurations[K]{maxKinds: maxKinds, byKind: map[K]time.Duration{}}
}

// Of returns the typical duration of the kind, or 0 if none is known.
func (d *TypicalDurations[K]) Of(kind K) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[kind]
}

// Observe records the duration of one request. It ignores a new kind if the maximum number of kinds is reached.
func (d *TypicalDurations[K]) Observe(kind K, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	average, known := d.byKind[kind]
	if !known {
		if d.maxKinds > 0 && len(d.byKind) >= d.maxKinds {
			return
		}
		average = duration
	}
	d.byKind[kind] = average + time.Duration(averageWeight*float64(duration-average))
}
