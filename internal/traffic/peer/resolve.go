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

// ResolveQuery asks what became of an attempt.
type ResolveQuery struct {
	AttemptID string
	Key       string
	Service   string
	// Incarnation is the process that the attempt was sent to; 0 for any.
	Incarnation uint64
	// Delegated says that the attempt was sent by the home of its key.
	Delegated bool
	// Move takes a key that has not run away from the asked node: it never runs there.
	Move   bool
	MoveTo outcome.Node
}

// Resolution is the answer to a Question.
type Resolution struct {
	// Known is false where the asked node is not the process that the attempt was sent to.
	Known bool
	State outcome.State
	// Reply is set with Done.
	Reply call.Reply
	// Fingerprint tells requests under one key apart. It is set for a key that is to move, and 0 where that was not seen.
	Fingerprint uint64
}

// Resolve asks the node at the address. It trusts no connection that may have gone silent: for a key it makes a new one, and
// for an attempt without a key it takes one that has just worked, or a new one where that gives no answer.
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
	response, err := queryNode(ctx, c, address, timeout, func(ctx context.Context, client peerpb.DRPCPeerClient) (*peerpb.ResolveReply, error) {
		return client.Resolve(ctx, request)
	})
	if err != nil {
		return Resolution{}, err
	}
	state, known := states[response.GetState()]
	resolution := Resolution{State: state, Known: known, Fingerprint: response.GetFingerprint()}
	if !known || state != outcome.Done {
		return resolution, nil
	}
	resolution.Reply, err = checkAndParseReply(&call.Request{AttemptID: q.AttemptID}, response.GetReply())
	if err != nil {
		return Resolution{}, &Error{Address: address, Sent: true, Reason: call.ReasonCorrupt, Cause: err}
	}
	return resolution, nil
}

// CloseIdle closes the idle connections to the node at the address, which was found silent.
func (c *Client) CloseIdle(address string) {
	c.pool.CloseIdle(address)
}

// Resolve answers what became of an attempt.
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
