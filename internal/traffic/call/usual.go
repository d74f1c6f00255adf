package call

import (
	"sync"
	"time"
)

// usualWeight is the weight of one time in the mean of its kind.
const usualWeight = 0.1

// UsualTimes are the mean times of requests by their kind. It is safe for concurrent use.
type UsualTimes[K comparable] struct {
	// most bounds the kinds that are known.
	most int

	mu     sync.Mutex
	byKind map[K]time.Duration
}

// NewUsualTimes returns the times of so many kinds at most; 0 for no bound.
func NewUsualTimes[K comparable](most int) *UsualTimes[K] {
	return &UsualTimes[K]{most: most, byKind: map[K]time.Duration{}}
}

// Of returns the usual time of the kind; 0 where none is known.
func (u *UsualTimes[K]) Of(kind K) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byKind[kind]
}

// Learn takes in the time of one request.
func (u *UsualTimes[K]) Learn(kind K, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	usual, known := u.byKind[kind]
	if !known {
		if u.most > 0 && len(u.byKind) >= u.most {
			return
		}
		usual = took
	}
	u.byKind[kind] = usual + time.Duration(usualWeight*float64(took-usual))
}
