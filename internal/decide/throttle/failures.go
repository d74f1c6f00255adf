package throttle

import "time"

// Failures records by fingerprint how many requests failed recently, to recognize requests that are sent again. Each
// failure accounts for one request sent again; further requests with the same fingerprint count as new. Failures is not
// safe for concurrent use.
type Failures struct {
	lifetime   time.Duration
	maxEntries int
	// recent and older are two generations of entries. When recent is full or expired, it replaces older.
	recent    map[uint64]int
	older     map[uint64]int
	rotatedAt time.Time
}

// NewFailures returns an empty record. It holds at most 2*maxEntries fingerprints and deletes each of them after one to
// two lifetimes.
func NewFailures(lifetime time.Duration, maxEntries int) *Failures {
	return &Failures{lifetime: lifetime, maxEntries: maxEntries, recent: map[uint64]int{}, older: map[uint64]int{}}
}

// Add records that the request with the fingerprint failed.
func (f *Failures) Add(now time.Time, fingerprint uint64) {
	f.rotate(now)
	if _, ok := f.recent[fingerprint]; !ok && len(f.recent) >= f.maxEntries {
		f.older, f.recent = f.recent, map[uint64]int{}
	}
	f.recent[fingerprint]++
}

// IsEmpty reports whether no request failed recently; there is then no need to compute a fingerprint.
func (f *Failures) IsEmpty(now time.Time) bool {
	f.rotate(now)
	return len(f.recent) == 0 && len(f.older) == 0
}

// Take reports whether a request with the fingerprint failed recently, and removes one failure.
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
