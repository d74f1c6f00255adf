package flow

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// minCheckDelay is the least time after which the other node is asked on a new connection about an answer that
	// has not come. Each further question waits twice as long.
	minCheckDelay = 250 * time.Millisecond
	// maxCheckDelay is the most, for kinds of work that always take long.
	maxCheckDelay = 2 * time.Second
	// checkDelayFactor is how many times its usual time an answer may take before the question.
	checkDelayFactor = 2
)

// workKind names one kind of work of one service.
type workKind struct {
	service string
	kind    string
}

// typicalDurations knows how long answers usually take, so that work that always takes long is not asked about each time.
type typicalDurations struct {
	byKind *call.UsualTimes[workKind]
}

func newTypicalDurations() *typicalDurations {
	return &typicalDurations{byKind: call.NewUsualTimes[workKind](0)} // documents and routes bound the kinds
}

// observe takes in the time of one answer.
func (d *typicalDurations) observe(k workKind, duration time.Duration) {
	d.byKind.Learn(k, duration)
}

// checkDelay returns how long an answer may take before it is asked about.
func (d *typicalDurations) checkDelay(k workKind) time.Duration {
	return min(max(minCheckDelay, checkDelayFactor*d.byKind.Of(k)), maxCheckDelay)
}
