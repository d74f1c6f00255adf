package flow

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// moveKeysHere takes a key without a time over from the nodes that were its home before, unless it has run here. One that
// was only refused here is asked for again: a node that was its home in between may not have asked this one.
// It reports false, with a reply, where one of them has run the key or can't be asked.
func (o *KeyOwner) moveKeysHere(ctx context.Context, r *call.Request, earlier []outcome.Node) (call.Reply, bool) {
	if !o.mayRun(keyID(r.Service, r.Key)) {
		return call.Reply{}, true
	}
	for _, owner := range earlier {
		if reply, moved := o.moveKeyFrom(ctx, r, owner); !moved {
			return reply, false
		}
	}
	return call.Reply{}, true
}

func (o *KeyOwner) mayRun(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keys.MayRun(time.Now(), id)
}

// moveKeyFrom asks one earlier home, again while it runs the key or hands its keys over.
func (o *KeyOwner) moveKeyFrom(ctx context.Context, r *call.Request, owner outcome.Node) (call.Reply, bool) {
	for !o.hasTakenOver(owner) {
		resolution, err := o.requestMove(ctx, r, owner)
		switch {
		case o.isLeaving():
			return refusalReplies[outcome.RefuseClosed], false
		case err != nil || !resolution.Known:
			return call.Refused(call.NotAdmitted, call.ReasonHomeUnreachable, ownerRetryAfter), false
		case resolution.Fingerprint != 0 && resolution.Fingerprint != contentHash(r):
			return refusalReplies[outcome.RefuseReused], false
		case resolution.State == outcome.Moved:
			return call.Reply{}, true
		case resolution.State == outcome.Done:
			return resolution.Reply, false
		}
		if !pause.For(ctx, ownerPollInterval) {
			return call.Refused(call.NotAdmitted, call.ReasonHomeUnknown, ownerRetryAfter), false
		}
	}
	return call.Reply{}, true
}

// isLeaving reports whether the keys of this node go to its successor, who then asks in its place.
func (o *KeyOwner) isLeaving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving
}

// hasTakenOver reports whether the keys of the earlier home have come here by a handover meanwhile.
func (o *KeyOwner) hasTakenOver(owner outcome.Node) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.answersFor(owner)
}

func (o *KeyOwner) requestMove(ctx context.Context, r *call.Request, owner outcome.Node) (peer.Resolution, error) {
	m, ok := memberAnsweringFor(o.config.Board.Snapshot(), owner)
	if !ok {
		return peer.Resolution{}, nil
	}
	return o.config.ResolveAt(ctx, m.PeerAddress, peer.ResolveQuery{
		AttemptID:   newAttemptID(),
		Key:         r.Key,
		Service:     r.Service,
		Incarnation: m.Incarnation,
		Move:        true,
		MoveTo:      o.config.Self,
	})
}
