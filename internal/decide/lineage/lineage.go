// Package lineage guesses which running request a call of the local backend server was made for, where the call itself
// doesn't say so. A call expires with the request that it is made for, unless its sender gives it less time. Kinds of which
// a good part expire so are calls; of the others it is known only that one of the running requests made them, most
// likely one whose last call has just ended, since backend servers make many calls one after the other.
//
// Requests can be taken for each other, so a guess may give a call its rank and its place in a queue, and never a promise.
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

// RunningRequest is a request that the backend server works on.
type RunningRequest struct {
	Kind     string
	Started  time.Time
	Deadline time.Time
	// HasOpenCall says that a call of it has not been answered.
	HasOpenCall bool
	// LastCallEnd is when its last call was answered; zero for none.
	LastCallEnd time.Time
}

const (
	// tolerance is by how much times may differ: senders give whole milliseconds, and messages take time.
	tolerance = 2500 * time.Microsecond
	// minAge is how long a request has run before it makes calls.
	minAge = time.Millisecond
	// sampleWeight is the weight of one request in what is known of its kind.
	sampleWeight = 0.03
	// minMatchRatio is the share of a kind's requests that expire with a running one, from which on they count as calls.
	minMatchRatio = 0.12
	// maxFullTimeoutRatio is the share of a kind's requests that have the longest time of all, up to which they count as calls:
	// callers give each request the same time.
	maxFullTimeoutRatio = 0.3
)

// Matcher learns which kinds of requests are calls.
type Matcher struct {
	kinds map[string]*kind
}

type kind struct {
	// maxTimeout is the longest time that a sender gave, in whole milliseconds.
	maxTimeout int64
	// fullTimeoutRatio is the share of the requests with that time, and fitting the share of those that expire with a running one.
	fullTimeoutRatio float64
	matchRatio       float64
	// parents counts the requests of each kind that calls of this kind expired with, and matched all of them.
	parents map[string]int
	matched int
}

// minParentRatio is the least part of the calls that a kind of request must have made to be taken for the maker of
// others: some requests expire with a call by chance.
const minParentRatio = 0.1

// isMadeBy reports whether requests of the kind make calls of this one.
func (k *kind) isMadeBy(parent string) bool {
	return float64(k.parents[parent]) >= minParentRatio*float64(k.matched)
}

// NewMatcher returns a matcher that knows no kinds.
func NewMatcher() *Matcher {
	return &Matcher{kinds: map[string]*kind{}}
}

// Unknown is the index where no request is likely to have made a call.
const Unknown = -1

// Match returns the index of the request that the call was most likely made for, or Unknown. It reports false where the
// kind is not known to be made up of calls.
func (m *Matcher) Match(now time.Time, c Call, running []RunningRequest) (int, bool) {
	index, fits := matchDeadline(now, c, running)
	k := m.kind(c)
	k.learn(now, c, fits)
	if fits {
		k.parents[running[index].Kind]++
		k.matched++
	}
	switch {
	case !k.isCall():
		return Unknown, false
	case fits && k.isMadeBy(running[index].Kind):
		return index, true
	}
	return k.likeliestParent(now, c, running), true
}

// matchDeadline returns the request that expires with the call.
func matchDeadline(now time.Time, c Call, running []RunningRequest) (int, bool) {
	best, least := -1, tolerance
	for i, r := range running {
		difference := r.Deadline.Sub(c.Expires).Abs()
		if now.Sub(r.Started) >= minAge && difference <= least {
			best, least = i, difference
		}
	}
	return best, best >= 0
}

// likeliestParent returns the request whose last call was answered last, of those that have no call open and outlast the call;
// else the one that has run longest.
func (k *kind) likeliestParent(now time.Time, c Call, running []RunningRequest) int {
	best := Unknown
	for i, r := range running {
		if r.HasOpenCall || now.Sub(r.Started) < minAge || r.Deadline.Before(c.Expires.Add(-tolerance)) {
			continue
		}
		if k.isMadeBy(r.Kind) && (best < 0 || isLikelier(r, running[best])) {
			best = i
		}
	}
	return best
}

func isLikelier(a, b RunningRequest) bool {
	if !a.LastCallEnd.Equal(b.LastCallEnd) {
		return a.LastCallEnd.After(b.LastCallEnd)
	}
	return a.Started.Before(b.Started)
}

func (m *Matcher) kind(c Call) *kind {
	k, known := m.kinds[c.Kind]
	if !known {
		k = &kind{fullTimeoutRatio: maxFullTimeoutRatio, matchRatio: minMatchRatio, parents: map[string]int{}}
		m.kinds[c.Kind] = k
	}
	return k
}

// learn takes in one request.
func (k *kind) learn(now time.Time, c Call, fits bool) {
	left := c.Expires.Sub(now).Milliseconds()
	k.maxTimeout = max(k.maxTimeout, left)
	k.fullTimeoutRatio += sampleWeight * (indicator(left >= k.maxTimeout) - k.fullTimeoutRatio)
	k.matchRatio += sampleWeight * (indicator(fits) - k.matchRatio)
}

// isCall reports whether the kind is made up of calls.
func (k *kind) isCall() bool {
	return k.matchRatio >= minMatchRatio && k.fullTimeoutRatio <= maxFullTimeoutRatio
}

func indicator(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
