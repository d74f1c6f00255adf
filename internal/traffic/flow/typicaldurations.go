package flow

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// minCheckDelay is the minimum delay before the other node is queried on a new connection about an overdue reply. The
	// delay doubles with each further query.
	minCheckDelay = 250 * time.Millisecond
	// maxCheckDelay is the maximum delay before the first query, for kinds of requests that always take long.
	maxCheckDelay = 2 * time.Second
	// checkDelayFactor is the ratio of the delay before the first query to the typical duration.
	checkDelayFactor = 2
)

// requestKind identifies the requests of one kind of one service.
type requestKind struct {
	service string
	kind    string
}

// typicalDurations tracks the typical duration of each kind of request, so that slow kinds are not queried at every
// attempt.
type typicalDurations struct {
	byKind *call.TypicalDurations[requestKind]
}

func newTypicalDurations() *typicalDurations {
	// The documents and routes limit the number of kinds.
	return &typicalDurations{byKind: call.NewTypicalDurations[requestKind](0)}
}

// observe adds the duration of one successful attempt.
func (d *typicalDurations) observe(k requestKind, duration time.Duration) {
	d.byKind.Observe(k, duration)
}

// checkDelay returns how long a reply may take before the other node is queried.
func (d *typicalDurations) checkDelay(k requestKind) time.Duration {
	return min(max(minCheckDelay, checkDelayFactor*d.byKind.Of(k)), maxCheckDelay)
}
