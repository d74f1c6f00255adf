package flow

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// minCheckDelay is the minimum delay before the other node is queried on a new connection about an overdue reply. The
	// delay doubles with each further query.
	minCheckDelay = 250 * time.Millisecond
	// maxCheckDelay is the maximum delay before the first query, for kinds of work that always take long.
	maxCheckDelay = 2 * time.Second
	// checkDelayFactor is the ratio of the delay before the first query to the typical duration.
	checkDelayFactor = 2
)

// workKind identifies one kind of request of one service.
type workKind struct {
	service string
	kind    string
}

// typicalDurations tracks the typical duration of each kind of request, so that slow kinds are not queried at every
// attempt.
type typicalDurations struct {
	byKind *call.TypicalDurations[workKind]
}

func newTypicalDurations() *typicalDurations {
	return &typicalDurations{byKind: call.NewTypicalDurations[workKind](0)} // the documents and routes limit the number of kinds
}

// observe adds the duration of one successful attempt.
func (d *typicalDurations) observe(k workKind, duration time.Duration) {
	d.byKind.Observe(k, duration)
}

// checkDelay returns how long a reply may take before the other node is queried.
func (d *typicalDurations) checkDelay(k workKind) time.Duration {
	return min(max(minCheckDelay, checkDelayFactor*d.byKind.Of(k)), maxCheckDelay)
}
