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

// Liveness gathers what shows whether the local backend server is there. A nil Presence takes notes for nobody.
type Liveness struct {
	mu      sync.Mutex
	tracker *liveness.Tracker
}

// NewLiveness returns a Presence that knows nothing yet.
func NewLiveness() *Liveness {
	return &Liveness{tracker: liveness.NewTracker()}
}

// RecordAnnouncement notes an announcement.
func (p *Liveness) RecordAnnouncement() {
	p.record(func(t *liveness.Tracker) { t.Announced(time.Now()) })
}

// probeTimeout bounds the wait for a connection to a backend server that refused or broke the last one.
const probeTimeout = 200 * time.Millisecond

// Check returns whether the backend server at the address is there. One that refused or broke a connection is tried.
func (p *Liveness) Check(ctx context.Context, address string) liveness.State {
	if p.needsProbe() {
		p.probe(ctx, address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.State(time.Now())
}

func (p *Liveness) needsProbe() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.NeedsProbe()
}

func (p *Liveness) probe(ctx context.Context, address string) {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.recordError(ctx, err)
		return
	}
	_ = connection.Close()
	p.record(func(t *liveness.Tracker) { t.ConnectionAccepted() })
}

func (p *Liveness) recordResponse() {
	p.record(func(t *liveness.Tracker) { t.Answered(time.Now()) })
}

// recordError notes a failed exchange. One that ended with its request says nothing about the backend server.
func (p *Liveness) recordError(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		p.record(func(t *liveness.Tracker) { t.ConnectionRefused() })
	default:
		p.record(func(t *liveness.Tracker) { t.ConnectionBroken() })
	}
}

func (p *Liveness) record(update func(*liveness.Tracker)) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	update(p.tracker)
}
