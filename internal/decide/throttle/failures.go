package throttle

import "time"

// Failures remembers for a short time how often which requests failed, so that those sent again are known as such.
// One failure accounts for one request sent again: others that look the same are new. It is not safe for concurrent
// use.
type Failures struct {
	life  time.Duration
	bound int
	// recent and older are two generations; the older one is dropped when the recent one is full or old.
	recent map[uint64]int
	older  map[uint64]int
	turned time.Time
}

// NewFailures returns an empty memory, of at most twice the bound, that forgets within one to two lives.
func NewFailures(life time.Duration, bound int) *Failures {
	return &Failures{life: life, bound: bound, recent: map[uint64]int{}, older: map[uint64]int{}}
}

// Add remembers that the request with the fingerprint failed.
func (f *Failures) Add(now time.Time, fingerprint uint64) {
	f.turn(now)
	if _, ok := f.recent[fingerprint]; !ok && len(f.recent) >= f.bound {
		f.older, f.recent = f.recent, map[uint64]int{}
	}
	f.recent[fingerprint]++
}

// IsEmpty reports whether no request failed lately, which spares the fingerprint of one.
func (f *Failures) IsEmpty(now time.Time) bool {
	f.turn(now)
	return len(f.recent) == 0 && len(f.older) == 0
}

// Take reports whether the request failed lately, and takes one failure away.
func (f *Failures) Take(now time.Time, fingerprint uint64) bool {
	f.turn(now)
	return take(f.recent, fingerprint) || take(f.older, fingerprint)
}

func take(failures map[uint64]int, fingerprint uint64) bool {
	if failures[fingerprint] == 0 {
		return false
	}
	failures[fingerprint]--
	if failures[fingerprint] == 0 {
		delete(failures, fingerprint)
	}
	return true
}

func (f *Failures) turn(now time.Time) {
	passed := now.Sub(f.turned)
	if passed < f.life {
		return
	}
	f.older, f.recent = f.recent, map[uint64]int{}
	if passed >= 2*f.life {
		f.older = map[uint64]int{}
	}
	f.turned = now
}
