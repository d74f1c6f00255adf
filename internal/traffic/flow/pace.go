package flow

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// progressBound is the least time after which the other node is asked on a new connection about an answer that
	// has not come. Each further question waits twice as long.
	progressBound = 250 * time.Millisecond
	// maxProgressBound is the most, for kinds of work that always take long.
	maxProgressBound = 2 * time.Second
	// usualFactor is how many times its usual time an answer may take before the question.
	usualFactor = 2
)

// workKind names one kind of work of one service.
type workKind struct {
	service string
	kind    string
}

// paces knows how long answers usually take, so that work that always takes long is not asked about each time.
type paces struct {
	usual *call.UsualTimes[workKind]
}

func newPaces() *paces {
	return &paces{usual: call.NewUsualTimes[workKind](0)} // documents and routes bound the kinds
}

// learn takes in the time of one answer.
func (p *paces) learn(k workKind, took time.Duration) {
	p.usual.Learn(k, took)
}

// bound returns how long an answer may take before it is asked about.
func (p *paces) bound(k workKind) time.Duration {
	return min(max(progressBound, usualFactor*p.usual.Of(k)), maxProgressBound)
}
