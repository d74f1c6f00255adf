// Package lineage guesses which running request a call of the local backend server was made for, where the call itself
// doesn't say so. A call expires with the request that it is made for, or, where its kind has a shorter time of its own,
// that time after the request started. Requests whose starts and ends lie close together can be taken for each other, so
// a guess may give a call its rank and its place in a queue, and never a promise.
//
// # Usage
//
//	m := lineage.NewMatcher()
//	index, ok := m.Match(now, lineage.Call{Kind: kind, Expires: expires}, running)
//
// The package does no I/O and reads no clock. A Matcher is not safe for concurrent use.
package lineage

import "time"

// Call is what is known of a call.
type Call struct {
	Kind string
	// Expires is until when the call's sender waits.
	Expires time.Time
}

// Running is a request that the backend server works on.
type Running struct {
	Started  time.Time
	Deadline time.Time
}

const (
	// tolerance is by how much times may differ: senders give whole milliseconds, and messages take time.
	tolerance = 5 * time.Millisecond
	// leastAge is how long a request has run before it makes calls. Requests of callers come with a whole time of their
	// own, which would fit one that has just started.
	leastAge = 2 * time.Millisecond
	// ownTimeStep is what the time of a kind is a multiple of.
	ownTimeStep = 50 * time.Millisecond
	// matchedWeight is the weight of one call in the share of those that match.
	matchedWeight = 0.05
	// leastMatched is the share of a kind's requests from which on they count as calls.
	leastMatched = 0.5
)

// Matcher learns which kinds of requests are calls, and how long each of them takes at most.
type Matcher struct {
	kinds map[string]*kind
}

type kind struct {
	// ownTime is the longest time that a sender gave, rounded up.
	ownTime time.Duration
	// matched is the share of the requests that fitted one that was running.
	matched float64
}

// NewMatcher returns a matcher that knows no kinds.
func NewMatcher() *Matcher {
	return &Matcher{kinds: map[string]*kind{}}
}

// Match returns the index of the request that the call was most likely made for, or false where there is none.
func (m *Matcher) Match(now time.Time, c Call, running []Running) (int, bool) {
	k := m.kind(now, c)
	best, least := -1, tolerance
	for i, r := range running {
		if now.Sub(r.Started) < leastAge || now.After(r.Deadline) {
			continue
		}
		difference := min(r.Deadline.Sub(c.Expires).Abs(), r.Started.Add(k.ownTime).Sub(c.Expires).Abs())
		if difference <= least {
			best, least = i, difference
		}
	}
	fits := 0.0
	if best >= 0 {
		fits = 1
	}
	k.matched += matchedWeight * (fits - k.matched)
	return best, best >= 0 && k.matched >= leastMatched
}

func (m *Matcher) kind(now time.Time, c Call) *kind {
	k, known := m.kinds[c.Kind]
	if !known {
		k = &kind{matched: leastMatched}
		m.kinds[c.Kind] = k
	}
	if left := c.Expires.Sub(now); left > k.ownTime {
		k.ownTime = (left + ownTimeStep - 1) / ownTimeStep * ownTimeStep
	}
	return k
}
