// Package local tracks the backend server of a node: its latest announcement and whether it is alive.
//
// # Usage
//
//	l := local.New(local.Config{Board: loop, Gate: gate, Client: client, Liveness: liveness, Log: log})
//	l.HandleAnnouncement(ctx, announcement)
//	l.Watch(ctx)
package local

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/announcement"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/liveness"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
)

// Config configures a Server.
type Config struct {
	Board    *board.Loop
	Gate     *backend.Gate
	Client   *backend.Client
	Liveness *backend.Liveness
	Log      *events.Log
	// Limiter receives the events that every response of the backend server may cause.
	Limiter *events.Limiter
	// StoreTimeout is how long a departure waits until the platform's store holds it, before it is acknowledged. With 0, it
	// doesn't wait.
	StoreTimeout time.Duration
}

// Server holds what the node knows about its local backend server.
type Server struct {
	config Config

	mu           sync.Mutex
	lastPosition announcement.Position
	// departure is the last departure of the backend server.
	departure announcement.Departure
	// restartedAt is when the first announcement of the current start of the backend server arrived.
	restartedAt time.Time
	// rateLimit is the rate limit that was logged last; 0 means none.
	rateLimit float64
}

// New returns a server that has not announced itself.
func New(config Config) *Server {
	return &Server{config: config}
}

// HandleAnnouncement applies an announcement of the backend server, unless a later one is known. It returns when the
// board shows it.
func (s *Server) HandleAnnouncement(ctx context.Context, a backend.Announcement) {
	isStale, isRestart := s.recordPosition(a)
	if isStale {
		s.config.Log.Emit(events.AnnouncementStale, events.Fields{
			"instance": a.Instance, "started": a.Started, "sequence": a.Sequence,
		})
		return
	}
	s.config.Liveness.RecordAnnouncement()
	if isRestart {
		s.config.Gate.Restarted()
	}
	s.config.Gate.Announce(a.Slots, a.Connections)
	s.config.Client.SetMaxConnections(a.Connections)
	previous := s.config.Board.Snapshot().Backend
	a.Leaving = s.recordLeaving(a)
	s.config.Board.Do(ctx, func(b *board.Board) {
		b.Backend = board.Backend{
			Service:        a.Service,
			Address:        a.Address,
			Slots:          a.Slots,
			MaxConnections: a.Connections,
			Instance:       a.Instance,
			Started:        a.Started,
			Leaving:        a.Leaving,
			AnnouncedAt:    time.Now(),
			State:          cmp.Or(b.Backend.State, liveness.Alive),
		}
	})
	s.logChanges(previous, a)
	if a.Leaving {
		s.awaitStored(ctx)
	}
}

// awaitStored waits until the platform's store holds that the current start of the backend server leaves. The next process of
// this node learns it from there.
func (s *Server) awaitStored(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.config.StoreTimeout)
	defer cancel()
	for ctx.Err() == nil {
		changed := s.config.Board.Changed()
		if b := s.config.Board.Snapshot(); b.Entry.LeavingStart == b.Backend.StartID() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Server) logChanges(previous board.Backend, a backend.Announcement) {
	fields := events.Fields{"service": a.Service, "address": a.Address, "instance": a.Instance, "sequence": a.Sequence}
	if previous.Service != a.Service || previous.Address != a.Address || previous.Instance != a.Instance {
		s.config.Log.Emit(events.BackendAnnounced, fields)
	}
	if a.Leaving && !previous.Leaving {
		fields["learned_from"] = "announcement"
		s.config.Log.Emit(events.BackendLeaving, fields)
	}
}

// recordPosition reports whether a later announcement is known. If none is, it records the position of this one, and
// reports whether it is the first of its start of the backend server.
func (s *Server) recordPosition(a backend.Announcement) (isStale, isRestart bool) {
	next := announcement.Position{Instance: a.Instance, Started: a.Started, Sequence: a.Sequence}
	s.mu.Lock()
	defer s.mu.Unlock()
	if announcement.IsStale(s.lastPosition, next) {
		return true, false
	}
	isRestart = !announcement.IsSameStart(s.lastPosition, next)
	if isRestart {
		s.restartedAt = time.Now()
	}
	s.lastPosition = next
	return false, isRestart
}

// recordLeaving reports whether the start of the backend server leaves that sent the announcement. It may have said so
// before.
func (s *Server) recordLeaving(a backend.Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := announcement.Position{Instance: a.Instance, Started: a.Started}
	if a.Leaving && a.Instance != "" {
		s.departure = announcement.Departure{Instance: a.Instance, Started: a.Started, At: time.Now()}
	}
	return a.Leaving || s.departure.Covers(position)
}

// HandleDeparture marks the backend server as leaving if it has this instance name. The departure of an instance that has
// not announced itself here counts for its later announcements.
func (s *Server) HandleDeparture(ctx context.Context, instance string) {
	s.mu.Lock()
	departure := announcement.Departure{Instance: instance, At: time.Now()}
	if s.lastPosition.Instance == instance {
		departure.Started = s.lastPosition.Started
	}
	s.departure = departure
	s.mu.Unlock()
	s.markLeaving(ctx, instance, "withdrawn")
	if s.config.Board.Snapshot().Backend.Instance == instance {
		s.awaitStored(ctx)
	}
}

// RestoreDeparture marks the start of the backend server (see board.Backend.StartID) as leaving, if it is the current one. An
// earlier process of this node learned that it leaves.
func (s *Server) RestoreDeparture(ctx context.Context, start string) {
	s.mu.Lock()
	current := board.Backend{Instance: s.lastPosition.Instance, Started: s.lastPosition.Started}
	if current.StartID() != start {
		s.mu.Unlock()
		return
	}
	s.departure = announcement.Departure{Instance: current.Instance, Started: current.Started, At: time.Now()}
	s.mu.Unlock()
	s.markLeaving(ctx, current.Instance, "store")
}

// markLeaving takes the backend server out of use if it has this instance name and doesn't leave already.
func (s *Server) markLeaving(ctx context.Context, instance, learnedFrom string) {
	if b := s.config.Board.Snapshot().Backend; b.Instance != instance || b.Leaving {
		return
	}
	s.config.Board.Do(ctx, func(b *board.Board) {
		if b.Backend.Instance == instance {
			b.Backend.Leaving = true
		}
	})
	s.config.Log.Emit(events.BackendLeaving, events.Fields{"instance": instance, "learned_from": learnedFrom})
}

// boardTimeout limits how long a response waits for the board, which no longer changes when the process is about to end.
const boardTimeout = time.Second

// HandleStatement applies what a response of the backend server says about the backend server. Responses of earlier starts
// of the backend server are ignored. It returns when the board shows that the backend server leaves.
func (s *Server) HandleStatement(next backend.Statement) {
	if !s.isCurrent(next) {
		return
	}
	if next.Leaving {
		s.recordStatedLeaving(next.Instance)
		ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
		defer cancel()
		s.markLeaving(ctx, next.Instance, "response")
	}
	if next.Invalid != "" {
		s.config.Limiter.Emit(time.Now(), events.StatementInvalid, events.Fields{"instance": next.Instance, "rate_limit": next.Invalid})
		return
	}
	s.config.Gate.ObserveRate(admission.RateStatement{
		PerSecond: next.RateLimit, IsLimited: next.IsRateLimited, SentAt: next.SentAt, ReceivedAt: next.ReceivedAt,
	})
	s.logRateLimit(next.Instance)
}

// recordStatedLeaving records that the current start of the backend server has stated that it leaves.
func (s *Server) recordStatedLeaving(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if instance != "" && s.lastPosition.Instance == instance {
		s.departure = announcement.Departure{Instance: instance, Started: s.lastPosition.Started, At: time.Now()}
	}
}

// isCurrent reports whether the statement is that of the current start of the backend server.
func (s *Server) isCurrent(next backend.Statement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastPosition.Instance == next.Instance && !next.SentAt.Before(s.restartedAt)
}

// logRateLimit logs the rate limit in force if it has changed.
func (s *Server) logRateLimit(instance string) {
	rateLimit := s.config.Gate.RateLimit()
	s.mu.Lock()
	previous := s.rateLimit
	s.rateLimit = rateLimit
	s.mu.Unlock()
	fields := events.Fields{"instance": instance, "per_second": rateLimit, "previous": previous}
	switch {
	case previous == rateLimit:
	case rateLimit > 0:
		s.config.Log.Emit(events.BackendRateLimited, fields)
	default:
		s.config.Log.Emit(events.BackendUnlimited, fields)
	}
}

// livenessCheckInterval is the interval between checks whether the backend server is alive.
const livenessCheckInterval = 200 * time.Millisecond

// Watch updates the liveness state of the backend server on the board until the context ends.
func (s *Server) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		if server := s.config.Board.Snapshot().Backend; server.Service != "" {
			s.recordState(ctx, s.config.Liveness.Check(ctx, server.Address))
		}
		pause.For(ctx, livenessCheckInterval)
	}
}

func (s *Server) recordState(ctx context.Context, state liveness.State) {
	previous := s.config.Board.Snapshot().Backend
	if previous.State == state {
		return
	}
	s.config.Board.Do(ctx, func(b *board.Board) { b.Backend.State = state })
	fields := events.Fields{"service": previous.Service, "address": previous.Address, "state": state}
	if state == liveness.Alive {
		s.config.Log.Emit(events.BackendBack, fields)
		return
	}
	s.config.Log.Emit(events.BackendLost, fields)
}
