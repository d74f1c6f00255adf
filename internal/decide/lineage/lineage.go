// Package lineage infers which running request of the local backend server made a call, if the call itself doesn't say
// so. A call has the deadline of the request that made it, unless its sender sets a shorter timeout. A kind of request
// counts as calls if enough of its requests have the deadline of a running request. A call with a shorter timeout was
// made by one of the running requests, most likely by the one whose last call ended most recently, because backend
// servers make many calls one after the other.
//
// The inference can be wrong. It may determine the rank and the queue position of a call, but nothing that must be
// certain. It is certain only that a request is no call if none of the running requests can have made it.
//
// # Usage
//
//	m := lineage.NewMatcher()
//	index, ok := m.Match(now, lineage.Call{Kind: kind, Expires: expires}, running)
//
// The package does no I/O and reads no clock. A Matcher is not safe for concurrent use.
package lineage

import (
	"slices"
	"time"
)

// Call is an arriving request that may be a call.
type Call struct {
	Kind string
	// Expires is the time until which the sender waits.
	Expires time.Time
}

// RunningRequest is a request that the backend server is running.
type RunningRequest struct {
	Kind     string
	Started  time.Time
	Deadline time.Time
	// HasOpenCall reports whether a call that the request made has not been answered.
	HasOpenCall bool
	// LastCallEnd is when the request's last call was answered; zero if there was none.
	LastCallEnd time.Time
}

const (
	// tolerance is the largest difference between two deadlines that count as equal: senders give whole milliseconds,
	// and messages take time in transit.
	tolerance = 2500 * time.Microsecond
	// maxTransit is the longest time for which a request and its calls are in transit between the node and the backend
	// server. By this time the deadline of a call can seem later than that of the request that made it.
	maxTransit = 250 * time.Millisecond
	// minAge is how long a request must have run before it can have made calls.
	minAge = time.Millisecond
	// sampleWeight is the weight of one request in the moving averages of its kind.
	sampleWeight = 0.03
	// minMatchRatio is the fraction of a kind's requests with the deadline of a running request from which the kind
	// counts as calls.
	minMatchRatio = 0.12
	// maxFullTimeoutRatio is the fraction of a kind's requests with the longest timeout seen up to which the kind
	// counts as calls. Callers give each request the same timeout.
	maxFullTimeoutRatio = 0.3
)

// Matcher learns which kinds of requests are calls, and which kinds make them.
type Matcher struct {
	kinds map[string]*kind
}

type kind struct {
	// maxTimeout is the longest timeout that a sender gave, in whole milliseconds.
	maxTimeout int64
	// fullTimeoutRatio is the fraction of requests with maxTimeout, and matchRatio the fraction with the deadline of a
	// running request. Both are moving averages.
	fullTimeoutRatio float64
	matchRatio       float64
	// parents counts the running requests, by kind, whose deadline a call of this kind had. matched is the sum of all
	// counts.
	parents map[string]int
	matched int
}

// minParentRatio is the fraction of the matched calls that a kind must have made to count as a parent: some requests
// have the deadline of a call by chance.
const minParentRatio = 0.1

// isMadeBy reports whether requests of the parent kind make calls of this kind.
func (k *kind) isMadeBy(parent string) bool {
	return float64(k.parents[parent]) >= minParentRatio*float64(k.matched)
}

// NewMatcher returns a matcher without observations.
func NewMatcher() *Matcher {
	return &Matcher{kinds: map[string]*kind{}}
}

// Unknown is the index returned if no request is likely to have made the call.
const Unknown = -1

// Match returns the index of the request that most likely made the call, or Unknown. It reports whether the request is
// likely to be a call: its kind counts as calls, and one of the running requests can have made it.
func (m *Matcher) Match(now time.Time, c Call, running []RunningRequest) (int, bool) {
	index, matches := matchDeadline(now, c, running)
	k := m.kind(c)
	k.learn(now, c, matches)
	if matches {
		k.parents[running[index].Kind]++
		k.matched++
	}
	switch {
	case !k.isCall() || !isPossible(c, running):
		return Unknown, false
	case matches && k.isMadeBy(running[index].Kind):
		return index, true
	}
	return k.likeliestParent(now, c, running), true
}

// isPossible reports whether any of the requests can have made the call. No call outlasts the request that made it.
func isPossible(c Call, running []RunningRequest) bool {
	return slices.ContainsFunc(running, func(r RunningRequest) bool { return !c.Expires.After(r.Deadline.Add(maxTransit)) })
}

// matchDeadline returns the index of the request with the same deadline as the call, within the tolerance, and reports
// whether there is one.
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

// likeliestParent returns the index of the request whose last call was answered most recently, among the requests that
// have no open call and outlast the call. Ties go to the request that has run longest.
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

// learn updates the moving averages with one request.
func (k *kind) learn(now time.Time, c Call, matches bool) {
	left := c.Expires.Sub(now).Milliseconds()
	k.maxTimeout = max(k.maxTimeout, left)
	k.fullTimeoutRatio += sampleWeight * (indicator(left >= k.maxTimeout) - k.fullTimeoutRatio)
	k.matchRatio += sampleWeight * (indicator(matches) - k.matchRatio)
}

// isCall reports whether requests of the kind count as calls.
func (k *kind) isCall() bool {
	return k.matchRatio >= minMatchRatio && k.fullTimeoutRatio <= maxFullTimeoutRatio
}

func indicator(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
