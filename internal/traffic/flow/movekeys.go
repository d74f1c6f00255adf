package flow

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// moveKeysHere moves a key without a time from its earlier owners to this node, unless the request has run here. If the
// request was only refused here, the earlier owners are queried again: another node may have owned the key in between and
// not have queried this node. If an earlier owner has run the request or does not answer, moveKeysHere returns false and
// the reply.
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

// moveKeyFrom asks one earlier owner to move the key, and repeats this while that node runs the request or hands its keys
// over.
func (o *KeyOwner) moveKeyFrom(ctx context.Context, r *call.Request, owner outcome.Node) (call.Reply, bool) {
	for !o.hasTakenOver(owner) {
		resolution, err := o.requestMove(ctx, r, owner)
		switch {
		case o.isLeaving():
			return refusalReplies[outcome.RefuseClosed], false
		case err != nil || !resolution.Known:
			return call.Refused(call.NotAdmitted, call.ReasonOwnerUnreachable, ownerRetryAfter), false
		case resolution.Fingerprint != 0 && resolution.Fingerprint != contentHash(r):
			return refusalReplies[outcome.RefuseReused], false
		case resolution.State == outcome.Moved:
			return call.Reply{}, true
		case resolution.State == outcome.Done:
			return resolution.Reply, false
		}
		if !pause.For(ctx, ownerPollInterval) {
			return call.Refused(call.NotAdmitted, call.ReasonOwnerUnknown, ownerRetryAfter), false
		}
	}
	return call.Reply{}, true
}

// isLeaving reports whether this node is handing its keys over. Its successor then asks the earlier owners instead.
func (o *KeyOwner) isLeaving() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving
}

// hasTakenOver reports whether a handover has brought the keys of the earlier owner to this node.
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
