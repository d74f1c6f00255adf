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

// Liveness collects observations about whether the local backend server is available. Methods that record an observation
// do nothing on a nil Liveness.
type Liveness struct {
	mu      sync.Mutex
	tracker *liveness.Tracker
}

// NewLiveness returns a Liveness without observations.
func NewLiveness() *Liveness {
	return &Liveness{tracker: liveness.NewTracker()}
}

// RecordAnnouncement records an announcement of the backend server.
func (l *Liveness) RecordAnnouncement() {
	l.record(func(t *liveness.Tracker) { t.Announced(time.Now()) })
}

// probeTimeout is the dial timeout of a probe.
const probeTimeout = 200 * time.Millisecond

// Check returns the state of the backend server at the address. It probes the backend server first if a connection was
// refused or broken and none has been accepted since.
func (l *Liveness) Check(ctx context.Context, address string) liveness.State {
	if l.needsProbe() {
		l.probe(ctx, address)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.State(time.Now())
}

func (l *Liveness) needsProbe() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.NeedsProbe()
}

func (l *Liveness) probe(ctx context.Context, address string) {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		l.recordError(ctx, err)
		return
	}
	_ = connection.Close()
	l.record(func(t *liveness.Tracker) { t.ConnectionAccepted() })
}

func (l *Liveness) recordResponse() {
	l.record(func(t *liveness.Tracker) { t.Responded(time.Now()) })
}

// recordError records a failed exchange. It ignores the failure if the context has ended, because the backend server
// didn't cause it then.
func (l *Liveness) recordError(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		l.record(func(t *liveness.Tracker) { t.ConnectionRefused() })
	default:
		l.record(func(t *liveness.Tracker) { t.ConnectionBroken() })
	}
}

func (l *Liveness) record(update func(*liveness.Tracker)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	update(l.tracker)
}
