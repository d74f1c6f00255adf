package caller

import (
	"sync"
	"time"
)

const (
	// usualWeight is the weight of one call in the usual time of its kind.
	usualWeight = 0.1
	// maxUsual bounds the kinds that are known.
	maxUsual = 1024
)

// usualTimes are the mean times of calls by kind, without what they waited.
type usualTimes struct {
	mu     sync.Mutex
	byKind map[string]time.Duration
}

func newUsualTimes() *usualTimes {
	return &usualTimes{byKind: map[string]time.Duration{}}
}

// of returns the usual time of the kind; 0 where none is known.
func (u *usualTimes) of(kind string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byKind[kind]
}

// learn takes in the time of one call.
func (u *usualTimes) learn(kind string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	usual, known := u.byKind[kind]
	if !known && len(u.byKind) >= maxUsual {
		return
	}
	if !known {
		usual = took
	}
	u.byKind[kind] = usual + time.Duration(usualWeight*float64(took-usual))
}
