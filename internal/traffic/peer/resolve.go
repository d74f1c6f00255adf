package peer

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

var stateMessages = map[outcome.State]peerpb.ResolveReply_State{
	outcome.Absent:  peerpb.ResolveReply_STATE_ABSENT,
	outcome.Running: peerpb.ResolveReply_STATE_RUNNING,
	outcome.Done:    peerpb.ResolveReply_STATE_DONE,
	outcome.NotRun:  peerpb.ResolveReply_STATE_NOT_RUN,
	outcome.Moved:   peerpb.ResolveReply_STATE_MOVED,
}

var states = map[peerpb.ResolveReply_State]outcome.State{
	peerpb.ResolveReply_STATE_ABSENT:  outcome.Absent,
	peerpb.ResolveReply_STATE_RUNNING: outcome.Running,
	peerpb.ResolveReply_STATE_DONE:    outcome.Done,
	peerpb.ResolveReply_STATE_NOT_RUN: outcome.NotRun,
	peerpb.ResolveReply_STATE_MOVED:   outcome.Moved,
}

// ResolveQuery asks a node for the state of an attempt.
type ResolveQuery struct {
	AttemptID string
	Key       string
	Service   string
	// Incarnation identifies the process that the attempt was sent to; 0 for any.
	Incarnation uint64
	// Delegated reports whether the owner of the key sent the attempt.
	Delegated bool
	// Move asks the node to give up the key if it has not run: its request will never run on that node.
	Move bool
	// MoveTo is the node to which the key moves.
	MoveTo outcome.Node
}

// Resolution is the reply to a ResolveQuery.
type Resolution struct {
	// Known is false if the node that replied is not the process that the attempt was sent to.
	Known bool
	State outcome.State
	// Reply is set if State is Done.
	Reply call.Reply
	// Fingerprint distinguishes different requests with the same key. It is set for a key that moves, and 0 if the node
	// has not seen the key.
	Fingerprint uint64
}

// Resolve sends the query to the node at the address. It avoids connections that may have gone silent. A query with a
// key uses a new connection. A query without a key uses a recently used connection, and a new one if that gives no
// reply.
func (c *Client) Resolve(ctx context.Context, address string, q ResolveQuery, timeout time.Duration) (Resolution, error) {
	request := &peerpb.ResolveRequest{
		AttemptId:   q.AttemptID,
		Key:         q.Key,
		Service:     q.Service,
		Incarnation: q.Incarnation,
		Delegated:   q.Delegated,
		Move:        q.Move,
		MoveTo:      ownerMessage(q.MoveTo),
	}
	queryNode := queryRecent[*peerpb.ResolveReply]
	if q.Key != "" {
		queryNode = query[*peerpb.ResolveReply]
	}
	var reply call.Reply
	response, err := queryNode(ctx, c, address, timeout, func(ctx context.Context, client peerpb.DRPCPeerClient) (*peerpb.ResolveReply, error) {
		response, err := client.Resolve(ctx, request)
		if err == nil && states[response.GetState()] == outcome.Done {
			reply, err = checkAndParseReply(&call.Request{AttemptID: q.AttemptID}, response.GetReply())
		}
		return response, err
	})
	if err != nil {
		return Resolution{}, err
	}
	state, known := states[response.GetState()]
	return Resolution{State: state, Known: known, Reply: reply, Fingerprint: response.GetFingerprint()}, nil
}

// CloseIdle closes the idle connections to the node at the address, because the node stopped replying.
func (c *Client) CloseIdle(address string) {
	c.pool.CloseIdle(address)
}

// Resolve returns the state of an attempt.
func (s *Server) Resolve(_ context.Context, m *peerpb.ResolveRequest) (*peerpb.ResolveReply, error) {
	resolution := s.outcomes.Resolve(ResolveQuery{
		AttemptID:   m.GetAttemptId(),
		Key:         m.GetKey(),
		Service:     m.GetService(),
		Incarnation: m.GetIncarnation(),
		Delegated:   m.GetDelegated(),
		Move:        m.GetMove(),
		MoveTo:      parseOwner(m.GetMoveTo()),
	})
	if !resolution.Known {
		return &peerpb.ResolveReply{State: peerpb.ResolveReply_STATE_UNKNOWN}, nil
	}
	response := &peerpb.ResolveReply{State: stateMessages[resolution.State], Fingerprint: resolution.Fingerprint}
	if resolution.State == outcome.Done {
		response.Reply = replyMessage(m.GetAttemptId(), resolution.Reply)
	}
	return response, nil
}
