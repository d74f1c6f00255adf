package peer

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// RememberedKey is an idempotency key that a leaving node hands over. Its state is Done, with a reply, or NotRun or
// Moved.
type RememberedKey = outcome.Entry[call.Reply]

// HandoverPart is one message of a handover, by which a leaving node transfers its idempotency keys to another node.
type HandoverPart struct {
	ID    string
	Part  int
	Parts int
	Keys  []RememberedKey
	// Owners are the key owners on whose behalf the receiver answers once it has all parts.
	Owners []outcome.Node
	// TargetIncarnation identifies the process that takes over the keys. A later process of the same node must not take
	// them over, because the earlier one may have run requests with some of these keys.
	TargetIncarnation uint64
}

// HandOver sends one part and reports whether the receiver accepted it. False means that the receiver will never accept
// any part.
func (c *Client) HandOver(ctx context.Context, address string, p HandoverPart, timeout time.Duration) (bool, error) {
	request := &peerpb.HandoverRequest{SourceNode: c.node, HandoverId: p.ID, Part: int32(p.Part), Parts: int32(p.Parts), TargetIncarnation: p.TargetIncarnation}
	for _, k := range p.Keys {
		request.Keys = append(request.Keys, keyMessage(k))
	}
	for _, o := range p.Owners {
		request.Homes = append(request.Homes, ownerMessage(o))
	}
	response, err := query(ctx, c, address, timeout, func(ctx context.Context, client peerpb.DRPCPeerClient) (*peerpb.HandoverReply, error) {
		return client.Handover(ctx, request)
	})
	if err != nil {
		return false, err
	}
	return !response.GetRefused(), nil
}

// Handover passes a part of a leaving node's keys to the outcome store.
func (s *Server) Handover(ctx context.Context, m *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	p := HandoverPart{ID: m.GetHandoverId(), Part: int(m.GetPart()), Parts: int(m.GetParts()), TargetIncarnation: m.GetTargetIncarnation()}
	for _, k := range m.GetKeys() {
		key, err := parseKey(k)
		if err != nil {
			return nil, err
		}
		p.Keys = append(p.Keys, key)
	}
	for _, o := range m.GetHomes() {
		p.Owners = append(p.Owners, parseOwner(o))
	}
	accepted, err := s.outcomes.TakeOver(ctx, p)
	if err != nil {
		return nil, err
	}
	return &peerpb.HandoverReply{Accepted: int32(len(p.Keys)), Refused: !accepted}, nil
}

func keyMessage(k RememberedKey) *peerpb.RememberedKey {
	return &peerpb.RememberedKey{
		Key:           k.ID,
		Fingerprint:   k.Fingerprint,
		KeyUnixMillis: k.UnixMillis,
		Bytes:         int64(k.Bytes),
		State:         stateMessages[k.State],
		Reply:         replyMessage("", k.Reply),
		MovedTo:       ownerMessage(k.MovedTo),
	}
}

func parseKey(m *peerpb.RememberedKey) (RememberedKey, error) {
	reply, err := parseReply(m.GetReply())
	if err != nil {
		return RememberedKey{}, err
	}
	return RememberedKey{
		ID:          m.GetKey(),
		Fingerprint: m.GetFingerprint(),
		UnixMillis:  m.GetKeyUnixMillis(),
		Bytes:       int(m.GetBytes()),
		State:       states[m.GetState()],
		Reply:       reply,
		MovedTo:     parseOwner(m.GetMovedTo()),
	}, nil
}

func ownerMessage(n outcome.Node) *peerpb.HomeNode {
	return &peerpb.HomeNode{Node: n.Name, Incarnation: n.Incarnation}
}

func parseOwner(m *peerpb.HomeNode) outcome.Node {
	return outcome.Node{Name: m.GetNode(), Incarnation: m.GetIncarnation()}
}
