// Package liveness decides whether the local backend server is there. A node whose backend server is not there says so,
// and the others send it nothing more, instead of each finding out by requests that fail.
//
// Nothing is asked of a health endpoint, which may lag or mislead. What counts is what can't be had from a backend server
// that is gone: accepted connections, answers, and announcements.
//
// # Usage
//
//	t := liveness.NewTracker()
//	t.Announced(now)
//	t.Refused(now)
//	t.State(now) // Refusing
//
// All methods take the time as an argument; a Tracker is not safe for use by several goroutines.
package liveness

import (
	"slices"
	"time"
)

// State is whether the backend server is there.
type State string

// The states.
const (
	// Alive is also the state of a backend server of which nothing is known yet.
	Alive State = "alive"
	// Refusing says that connections are refused: the process has ended, or has not begun.
	Refusing State = "refusing"
	// Silent says that a backend server which announced itself regularly has stopped, and answers nothing either.
	Silent State = "silent"
)

const (
	// minGaps is how many times between announcements must be known before their absence means anything.
	minGaps = 4
	// maxRegularGap is the longest time between announcements that come regularly.
	maxRegularGap = 2 * time.Second
	// missedAnnouncements is how many announcements in a row must be missing.
	missedAnnouncements = 3
	// minSilence is the least silence that means anything.
	minSilence = 1500 * time.Millisecond
)

// Tracker follows one backend server.
type Tracker struct {
	announced time.Time
	answered  time.Time
	// gaps are the latest times between announcements, at most regularGaps.
	gaps     []time.Duration
	refusing bool
	// brokenSinceAccept says that a connection broke since the last accepted one.
	brokenSinceAccept bool
}

// NewTracker returns a tracker of a backend server of which nothing is known yet.
func NewTracker() *Tracker {
	return &Tracker{}
}

// Announced notes an announcement.
func (t *Tracker) Announced(now time.Time) {
	if !t.announced.IsZero() {
		t.gaps = append(t.gaps, now.Sub(t.announced))
	}
	if len(t.gaps) > minGaps {
		t.gaps = slices.Delete(t.gaps, 0, 1)
	}
	t.announced = now
}

// Answered notes an answer.
func (t *Tracker) Answered(now time.Time) {
	t.answered = now
	t.refusing, t.brokenSinceAccept = false, false
}

// ConnectionRefused notes a refused connection.
func (t *Tracker) ConnectionRefused() {
	t.refusing, t.brokenSinceAccept = true, false
}

// ConnectionBroken notes a connection that broke in the middle of a request.
func (t *Tracker) ConnectionBroken() {
	t.brokenSinceAccept = true
}

// ConnectionAccepted notes an accepted connection. It says nothing against silence: a process that hangs accepts connections.
func (t *Tracker) ConnectionAccepted() {
	t.refusing, t.brokenSinceAccept = false, false
}

// NeedsProbe reports whether a connection should be opened to learn more. It is true after a refused or broken one.
func (t *Tracker) NeedsProbe() bool {
	return t.refusing || t.brokenSinceAccept
}

// State returns whether the backend server is there.
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
