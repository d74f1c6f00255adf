// Package local keeps what a node knows of its own backend server: what it announced, and whether it is there.
//
// # Usage
//
//	l := local.New(local.Config{Board: loop, Gate: gate, Client: client, Presence: presence, Log: log})
//	l.Announced(ctx, announcement)
//	l.Watch(ctx)
package local

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/announcement"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/liveness"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
)

// Config sets a Server up.
type Config struct {
	Board    *board.Loop
	Gate     *backend.Gate
	Client   *backend.Client
	Presence *backend.Liveness
	Log      *events.Log
}

// Server is the local backend server, as the node knows it.
type Server struct {
	config Config

	mu   sync.Mutex
	held announcement.Position
}

// New returns a server that has not announced itself.
func New(config Config) *Server {
	return &Server{config: config}
}

// Announced takes in what the backend server says of itself. It returns when the board shows it.
func (s *Server) Announced(ctx context.Context, a backend.Announcement) {
	if s.isLate(a) {
		s.config.Log.Emit(events.AnnouncementStale, events.Fields{
			"instance": a.Instance, "started": a.Started, "sequence": a.Sequence,
		})
		return
	}
	s.config.Presence.RecordAnnouncement()
	s.config.Gate.Announce(a.Slots, a.Connections)
	s.config.Client.SetMaxConnections(a.Connections)
	before := s.config.Board.Snapshot().Backend
	s.config.Board.Do(ctx, func(b *board.Board) {
		b.Backend = board.Backend{
			Service:     a.Service,
			Address:     a.Address,
			Slots:       a.Slots,
			Connections: a.Connections,
			Instance:    a.Instance,
			Leaving:     a.Leaving,
			AnnouncedAt: time.Now(),
			State:       cmp.Or(b.Backend.State, liveness.Alive),
		}
	})
	s.log(before, a)
}

func (s *Server) log(before board.Backend, a backend.Announcement) {
	fields := events.Fields{"service": a.Service, "address": a.Address, "instance": a.Instance, "sequence": a.Sequence}
	if before.Service != a.Service || before.Address != a.Address || before.Instance != a.Instance {
		s.config.Log.Emit(events.BackendAnnounced, fields)
	}
	if a.Leaving && !before.Leaving {
		s.config.Log.Emit(events.BackendLeaving, fields)
	}
}

// isLate reports whether a later announcement is known, and remembers the announcement where none is.
func (s *Server) isLate(a backend.Announcement) bool {
	next := announcement.Position{Instance: a.Instance, Started: a.Started, Sequence: a.Sequence}
	s.mu.Lock()
	defer s.mu.Unlock()
	if announcement.IsStale(s.held, next) {
		return true
	}
	s.held = next
	return false
}

// Left takes in that the backend server with the instance name leaves. One of another name changes nothing.
func (s *Server) Left(ctx context.Context, instance string) {
	if s.config.Board.Snapshot().Backend.Instance != instance {
		return
	}
	s.config.Board.Do(ctx, func(b *board.Board) {
		if b.Backend.Instance == instance {
			b.Backend.Leaving = true
		}
	})
	s.config.Log.Emit(events.BackendLeaving, events.Fields{"instance": instance})
}

// lookEvery is the time between looks at whether the backend server is there.
const lookEvery = 200 * time.Millisecond

// Watch keeps the board's word on whether the backend server is there, until the context ends.
func (s *Server) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		if seen := s.config.Board.Snapshot().Backend; seen.Service != "" {
			s.note(ctx, s.config.Presence.Check(ctx, seen.Address))
		}
		pause.For(ctx, lookEvery)
	}
}

func (s *Server) note(ctx context.Context, state liveness.State) {
	before := s.config.Board.Snapshot().Backend
	if before.State == state {
		return
	}
	s.config.Board.Do(ctx, func(b *board.Board) { b.Backend.State = state })
	fields := events.Fields{"service": before.Service, "address": before.Address, "state": state}
	if state == liveness.Alive {
		s.config.Log.Emit(events.BackendBack, fields)
		return
	}
	s.config.Log.Emit(events.BackendLost, fields)
}
