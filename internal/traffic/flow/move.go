package flow

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// moveHere takes a key without a time over from the nodes that were its home before, unless it has run here. One that
// was only refused here is asked for again: a node that was its home in between may not have asked this one.
// It reports false, with a reply, where one of them has run the key or can't be asked.
func (h *Home) moveHere(ctx context.Context, r *call.Request, earlier []outcome.Node) (call.Reply, bool) {
	if !h.mayRun(keyID(r.Service, r.Key)) {
		return call.Reply{}, true
	}
	for _, home := range earlier {
		if reply, moved := h.moveFrom(ctx, r, home); !moved {
			return reply, false
		}
	}
	return call.Reply{}, true
}

func (h *Home) mayRun(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keys.MayRun(time.Now(), id)
}

// moveFrom asks one earlier home, again while it runs the key or hands its keys over.
func (h *Home) moveFrom(ctx context.Context, r *call.Request, home outcome.Node) (call.Reply, bool) {
	for !h.holdsKeysOf(home) {
		resolution, err := h.askToMove(ctx, r, home)
		switch {
		case h.isLeaving():
			return refusals[outcome.RefuseClosed], false
		case err != nil || !resolution.Known:
			return call.Refused(call.NotAdmitted, call.ReasonHomeUnreachable, homeRetry), false
		case resolution.Fingerprint != 0 && resolution.Fingerprint != contentSum(r):
			return refusals[outcome.RefuseReused], false
		case resolution.State == outcome.Moved:
			return call.Reply{}, true
		case resolution.State == outcome.Done:
			return resolution.Reply, false
		}
		if !pause.For(ctx, relocatePause) {
			return call.Refused(call.NotAdmitted, call.ReasonHomeUnknown, homeRetry), false
		}
	}
	return call.Reply{}, true
}

// isLeaving reports whether the keys of this node go to its successor, who then asks in its place.
func (h *Home) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// holdsKeysOf reports whether the keys of the earlier home have come here by a handover meanwhile.
func (h *Home) holdsKeysOf(home outcome.Node) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answersFor(home)
}

func (h *Home) askToMove(ctx context.Context, r *call.Request, home outcome.Node) (peer.Resolution, error) {
	m, ok := present(h.config.Board.Snapshot(), home)
	if !ok {
		return peer.Resolution{}, nil
	}
	return h.config.Ask(ctx, m.PeerAddress, peer.Question{
		AttemptID:   newAttemptID(),
		Key:         r.Key,
		Service:     r.Service,
		Incarnation: m.Incarnation,
		Move:        true,
		MoveTo:      h.config.Self,
	})
}
