package flow

import (
	"sync"
	"time"
)

const (
	// progressBound is the least time after which the other node is asked on a new connection about an answer that
	// has not come. Each further question waits twice as long.
	progressBound = 250 * time.Millisecond
	// maxProgressBound is the most, for kinds of work that always take long.
	maxProgressBound = 2 * time.Second
	// usualFactor is how many times its usual time an answer may take before the question.
	usualFactor = 2
	// paceWeight is the part that one answer has in the usual time.
	paceWeight = 0.1
)

// workKind names one kind of work of one service.
type workKind struct {
	service string
	kind    string
}

// paces knows how long answers usually take, so that work that always takes long is not asked about each time.
type paces struct {
	mu     sync.Mutex
	byKind map[workKind]time.Duration
}

func newPaces() *paces {
	return &paces{byKind: map[workKind]time.Duration{}}
}

// learn takes in the time of one answer.
func (p *paces) learn(k workKind, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, known := p.byKind[k]
	if !known {
		usual = took
	}
	p.byKind[k] = usual + time.Duration(paceWeight*float64(took-usual))
}

// bound returns how long an answer may take before it is asked about.
func (p *paces) bound(k workKind) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(progressBound, usualFactor*p.byKind[k]), maxProgressBound)
}
