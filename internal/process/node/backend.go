package node

import (
	"cmp"
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/liveness"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
)

// announced takes in what the local backend server says of itself.
func (n *Node) announced(ctx context.Context, a backend.Announcement) {
	n.presence.Announced()
	n.gate.Announce(a.Slots, a.Connections)
	n.client.SetConnections(a.Connections)
	before := n.loop.Snapshot().Backend
	n.loop.Do(ctx, func(b *board.Board) {
		b.Backend = board.Backend{
			Service:     a.Service,
			Address:     a.Address,
			Slots:       a.Slots,
			Connections: a.Connections,
			Leaving:     a.Leaving,
			AnnouncedAt: time.Now(),
			State:       cmp.Or(b.Backend.State, liveness.Alive),
		}
	})
	if before.Service != a.Service || before.Address != a.Address {
		n.config.Log.Emit(events.BackendAnnounced, events.Fields{"service": a.Service, "address": a.Address})
	}
	if a.Leaving && !before.Leaving {
		n.config.Log.Emit(events.BackendLeaving, events.Fields{"service": a.Service})
	}
}

// backendLook is the time between looks at whether the backend server is there.
const backendLook = 200 * time.Millisecond

// watchBackend keeps the board's word on whether the backend server is there.
func (n *Node) watchBackend(ctx context.Context) {
	for ctx.Err() == nil {
		if seen := n.loop.Snapshot().Backend; seen.Service != "" {
			n.noteBackend(ctx, n.presence.Look(ctx, seen.Address))
		}
		pause.For(ctx, backendLook)
	}
}

func (n *Node) noteBackend(ctx context.Context, state liveness.State) {
	before := n.loop.Snapshot().Backend
	if before.State == state {
		return
	}
	n.loop.Do(ctx, func(b *board.Board) { b.Backend.State = state })
	fields := events.Fields{"service": before.Service, "address": before.Address, "state": state}
	if state == liveness.Alive {
		n.config.Log.Emit(events.BackendBack, fields)
		return
	}
	n.config.Log.Emit(events.BackendLost, fields)
}
