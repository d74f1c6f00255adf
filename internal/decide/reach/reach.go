// Package reach tracks the nodes that did not reply, so that requests avoid them, and decides when to probe each of
// these nodes. Requests themselves would detect an unreachable node at a high cost: an attempt to connect to a node
// behind a network partition can take half of the time until a request's deadline, and there are many requests.
//
// # Usage
//
//	t := reach.NewTracker()
//	t.MarkUnreachable(now, "node_2")
//	for _, node := range t.Due(now) { ... probe it; t.Clear(node) if it replies ... }
//
// The package does no I/O and reads no clock. A Tracker is not safe for concurrent use.
package reach

import (
	"slices"
	"time"
)

const (
	// initialProbeInterval is the time between the first two probes of a node. The interval doubles with each further
	// probe.
	initialProbeInterval = 150 * time.Millisecond
	// maxProbeInterval limits the interval. A node that is reachable again is found within it.
	maxProbeInterval = 600 * time.Millisecond
)

// Tracker holds the nodes that did not reply.
type Tracker struct {
	unreachable map[string]*probe
}

// probe is the schedule of the probes of one unreachable node.
type probe struct {
	since    time.Time
	next     time.Time
	interval time.Duration
}

// NewTracker returns a tracker without unreachable nodes.
func NewTracker() *Tracker {
	return &Tracker{unreachable: map[string]*probe{}}
}

// MarkUnreachable records that a node did not reply, and reports whether this is new. The node is due for a probe
// immediately, because perhaps only its open connection has failed.
func (t *Tracker) MarkUnreachable(now time.Time, node string) bool {
	if _, known := t.unreachable[node]; known {
		return false
	}
	t.unreachable[node] = &probe{since: now, next: now, interval: initialProbeInterval}
	return true
}

// Clear records that a node replies again or is no longer a member. It returns the time since which the node was
// unreachable, and reports whether it was.
func (t *Tracker) Clear(node string) (time.Time, bool) {
	p, known := t.unreachable[node]
	if !known {
		return time.Time{}, false
	}
	delete(t.unreachable, node)
	return p.since, true
}

// Due returns the names of the nodes to probe now, sorted, and schedules the next probe of each.
func (t *Tracker) Due(now time.Time) []string {
	var due []string
	for node, p := range t.unreachable {
		if now.Before(p.next) {
			continue
		}
		due = append(due, node)
		p.next = now.Add(p.interval)
		p.interval = min(2*p.interval, maxProbeInterval)
	}
	slices.Sort(due)
	return due
}

// Len returns the number of unreachable nodes.
func (t *Tracker) Len() int {
	return len(t.unreachable)
}
