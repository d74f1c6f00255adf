package throttle

import "time"

// Failures remembers for a short time which requests failed, so that those sent again are known as such. It is not
// safe for concurrent use.
type Failures struct {
	life  time.Duration
	bound int
	// recent and older are two generations; the older one is dropped when the recent one is full or old.
	recent map[uint64]time.Time
	older  map[uint64]time.Time
	turned time.Time
}

// NewFailures returns an empty memory, of at most twice the bound, that forgets after the life.
func NewFailures(life time.Duration, bound int) *Failures {
	return &Failures{life: life, bound: bound, recent: map[uint64]time.Time{}, older: map[uint64]time.Time{}}
}

// Add remembers that the request with the fingerprint failed.
func (f *Failures) Add(now time.Time, fingerprint uint64) {
	if len(f.recent) >= f.bound || now.Sub(f.turned) > f.life {
		f.older, f.recent = f.recent, map[uint64]time.Time{}
		f.turned = now
	}
	f.recent[fingerprint] = now
}

// Remove forgets the request, since it has succeeded.
func (f *Failures) Remove(fingerprint uint64) {
	delete(f.recent, fingerprint)
	delete(f.older, fingerprint)
}

// Has reports whether the request failed within the life.
func (f *Failures) Has(now time.Time, fingerprint uint64) bool {
	at, ok := f.recent[fingerprint]
	if !ok {
		at, ok = f.older[fingerprint]
	}
	return ok && now.Sub(at) <= f.life
}
