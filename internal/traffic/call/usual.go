package call

import (
	"sync"
	"time"
)

// averageWeight is the weight of one time in the mean of its kind.
const averageWeight = 0.1

// TypicalDurations are the mean times of requests by their kind. It is safe for concurrent use.
type TypicalDurations[K comparable] struct {
	// maxKinds bounds the kinds that are known.
	maxKinds int

	mu     sync.Mutex
	byKind map[K]time.Duration
}

// NewTypicalDurations returns the times of so many kinds at most; 0 for no bound.
func NewTypicalDurations[K comparable](maxKinds int) *TypicalDurations[K] {
	return &TypicalDurations[K]{maxKinds: maxKinds, byKind: map[K]time.Duration{}}
}

// Of returns the usual time of the kind; 0 where none is known.
func (d *TypicalDurations[K]) Of(kind K) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[kind]
}

// Observe takes in the time of one request.
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
