// Package reach remembers which nodes gave no answer, so that requests keep away from them, and says when each of them is
// to be asked again. Requests themselves find out at a high price: while a connection to a node that is cut off is tried,
// half of a request's time may pass, and there are many requests.
//
// # Usage
//
//	t := reach.NewTracker()
//	t.Lost(now, "node_2")
//	for _, node := range t.Due(now) { ... ask it; t.Found(node) if it answers ... }
//
// The package does no I/O and reads no clock. A Tracker is not safe for concurrent use.
package reach

import (
	"slices"
	"time"
)

const (
	// initialProbeInterval is the time between the first two questions to a node; each further one doubles it.
	initialProbeInterval = 150 * time.Millisecond
	// maxProbeInterval bounds that time. A node that is back is found within it.
	maxProbeInterval = 600 * time.Millisecond
)

// Tracker holds the nodes that gave no answer.
type Tracker struct {
	unreachable map[string]*probe
}

// probe is when a lost node is asked next.
type probe struct {
	since    time.Time
	next     time.Time
	interval time.Duration
}

// NewTracker returns a tracker that has lost nobody.
func NewTracker() *Tracker {
	return &Tracker{unreachable: map[string]*probe{}}
}

// MarkUnreachable notes that a node gave no answer, and reports whether that is new. It is due at once: only its open connection may
// have gone silent.
func (t *Tracker) MarkUnreachable(now time.Time, node string) bool {
	if _, known := t.unreachable[node]; known {
		return false
	}
	t.unreachable[node] = &probe{since: now, next: now, interval: initialProbeInterval}
	return true
}

// Clear notes that a node answers again, or is no member any more. It returns since when it was lost, and false where it
// wasn't.
func (t *Tracker) Clear(node string) (time.Time, bool) {
	q, known := t.unreachable[node]
	if !known {
		return time.Time{}, false
	}
	delete(t.unreachable, node)
	return q.since, true
}

// Due returns the nodes that are to be asked now, by name, and sets the next time for each.
func (t *Tracker) Due(now time.Time) []string {
	var due []string
	for node, q := range t.unreachable {
		if now.Before(q.next) {
			continue
		}
		due = append(due, node)
		q.next = now.Add(q.interval)
		q.interval = min(2*q.interval, maxProbeInterval)
	}
	slices.Sort(due)
	return due
}

// Len returns how many nodes are lost.
func (t *Tracker) Len() int {
	return len(t.unreachable)
}
