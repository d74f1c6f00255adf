// Package liveness decides whether the local backend server is alive. A node whose backend server is down reports this
// to its peers, which send it no more requests. Otherwise each peer would notice only when its own requests fail.
//
// The package uses no health endpoint, whose result may be late or wrong. It uses only signs that a backend server which
// is down can't give: accepted connections, responses and announcements.
//
// # Usage
//
//	t := liveness.NewTracker()
//	t.Announced(now)
//	t.ConnectionRefused()
//	t.State(now) // Refusing
//
// The package does no I/O and reads no clock. A Tracker is not safe for concurrent use.
package liveness

import (
	"slices"
	"time"
)

// State is the state of the backend server.
type State string

// The states.
const (
	// Alive is also the state of a backend server without any observation.
	Alive State = "alive"
	// Refusing means that connections are refused: the process has ended or has not started.
	Refusing State = "refusing"
	// Silent means that a backend server that announced itself regularly has stopped doing so, and gives no
	// responses either.
	Silent State = "silent"
)

const (
	// minGaps is the number of intervals between announcements that must be known before missing announcements count.
	minGaps = 4
	// maxRegularGap is the longest interval between announcements that counts as regular.
	maxRegularGap = 2 * time.Second
	// missedAnnouncements is the number of consecutive announcements that must be missing.
	missedAnnouncements = 3
	// minSilence is the shortest silence that counts.
	minSilence = 1500 * time.Millisecond
)

// Tracker tracks the state of one backend server.
type Tracker struct {
	announced time.Time
	answered  time.Time
	// gaps are the latest intervals between announcements, at most minGaps.
	gaps     []time.Duration
	refusing bool
	// brokenSinceAccept reports whether a connection broke after the last accepted one.
	brokenSinceAccept bool
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{}
}

// Announced records an announcement.
func (t *Tracker) Announced(now time.Time) {
	if !t.announced.IsZero() {
		t.gaps = append(t.gaps, now.Sub(t.announced))
	}
	if len(t.gaps) > minGaps {
		t.gaps = slices.Delete(t.gaps, 0, 1)
	}
	t.announced = now
}

// Responded records a response to a request.
func (t *Tracker) Responded(now time.Time) {
	t.answered = now
	t.refusing, t.brokenSinceAccept = false, false
}

// ConnectionRefused records a refused connection.
func (t *Tracker) ConnectionRefused() {
	t.refusing, t.brokenSinceAccept = true, false
}

// ConnectionBroken records a connection that broke while a request was running.
func (t *Tracker) ConnectionBroken() {
	t.brokenSinceAccept = true
}

// ConnectionAccepted records an accepted connection. It doesn't end a silence, because a process that hangs still
// accepts connections.
func (t *Tracker) ConnectionAccepted() {
	t.refusing, t.brokenSinceAccept = false, false
}

// NeedsProbe reports whether a connection should be opened to learn the state. It is true after a refused or broken
// connection.
func (t *Tracker) NeedsProbe() bool {
	return t.refusing || t.brokenSinceAccept
}

// State returns the state of the backend server.
func (t *Tracker) State(now time.Time) State {
	switch {
	case t.refusing:
		return Refusing
	case t.isSilent(now):
		return Silent
	}
	return Alive
}

func (t *Tracker) isSilent(now time.Time) bool {
	if len(t.gaps) < minGaps || slices.Max(t.gaps) > maxRegularGap {
		return false
	}
	silence := min(now.Sub(t.announced), now.Sub(t.answered))
	return silence > max(missedAnnouncements*slices.Max(t.gaps), minSilence)
}
