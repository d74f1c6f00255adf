package throttle

import "time"

// Failures remembers for a short time how often which requests failed, so that those sent again are known as such.
// One failure accounts for one request sent again: others that look the same are new. It is not safe for concurrent
// use.
type Failures struct {
	lifetime   time.Duration
	maxEntries int
	// recent and older are two generations; the older one is dropped when the recent one is full or old.
	recent    map[uint64]int
	older     map[uint64]int
	rotatedAt time.Time
}

// NewFailures returns an empty memory, of at most twice the bound, that forgets within one to two lives.
func NewFailures(lifetime time.Duration, maxEntries int) *Failures {
	return &Failures{lifetime: lifetime, maxEntries: maxEntries, recent: map[uint64]int{}, older: map[uint64]int{}}
}

// Add remembers that the request with the fingerprint failed.
func (f *Failures) Add(now time.Time, fingerprint uint64) {
	f.rotate(now)
	if _, ok := f.recent[fingerprint]; !ok && len(f.recent) >= f.maxEntries {
		f.older, f.recent = f.recent, map[uint64]int{}
	}
	f.recent[fingerprint]++
}

// IsEmpty reports whether no request failed lately, which spares the fingerprint of one.
func (f *Failures) IsEmpty(now time.Time) bool {
	f.rotate(now)
	return len(f.recent) == 0 && len(f.older) == 0
}

// Take reports whether the request failed lately, and takes one failure away.
func (f *Failures) Take(now time.Time, fingerprint uint64) bool {
	f.rotate(now)
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

func (f *Failures) rotate(now time.Time) {
	passed := now.Sub(f.rotatedAt)
	if passed < f.lifetime {
		return
	}
	f.older, f.recent = f.recent, map[uint64]int{}
	if passed >= 2*f.lifetime {
		f.older = map[uint64]int{}
	}
	f.rotatedAt = now
}
