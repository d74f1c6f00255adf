package backend

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/liveness"
)

// Presence gathers what shows whether the local backend server is there. A nil Presence takes notes for nobody.
type Presence struct {
	mu      sync.Mutex
	tracker *liveness.Tracker
}

// NewPresence returns a Presence that knows nothing yet.
func NewPresence() *Presence {
	return &Presence{tracker: liveness.NewTracker()}
}

// Announced notes an announcement.
func (p *Presence) Announced() {
	p.note(func(t *liveness.Tracker) { t.Announced(time.Now()) })
}

// probeTimeout bounds the wait for a connection to a backend server that refused or broke the last one.
const probeTimeout = 200 * time.Millisecond

// Look returns whether the backend server at the address is there. One that refused or broke a connection is tried.
func (p *Presence) Look(ctx context.Context, address string) liveness.State {
	if p.asksForProbe() {
		p.probe(ctx, address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.State(time.Now())
}

func (p *Presence) asksForProbe() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.AsksForProbe()
}

func (p *Presence) probe(ctx context.Context, address string) {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.noteError(ctx, err)
		return
	}
	_ = connection.Close()
	p.note(func(t *liveness.Tracker) { t.Accepted() })
}

func (p *Presence) noteAnswer() {
	p.note(func(t *liveness.Tracker) { t.Answered(time.Now()) })
}

// noteError notes a failed exchange. One that ended with its request says nothing about the backend server.
func (p *Presence) noteError(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		p.note(func(t *liveness.Tracker) { t.Refused() })
	default:
		p.note(func(t *liveness.Tracker) { t.Broke() })
	}
}

func (p *Presence) note(f func(*liveness.Tracker)) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.tracker)
}
