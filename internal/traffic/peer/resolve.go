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

// Question asks what became of an attempt.
type Question struct {
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
func (c *Client) Resolve(ctx context.Context, address string, q Question, timeout time.Duration) (Resolution, error) {
	request := &peerpb.ResolveRequest{
		AttemptId:   q.AttemptID,
		Key:         q.Key,
		Service:     q.Service,
		Incarnation: q.Incarnation,
		Delegated:   q.Delegated,
		Move:        q.Move,
		MoveTo:      homeMessage(q.MoveTo),
	}
	put := askSoon[*peerpb.ResolveReply]
	if q.Key != "" {
		put = ask[*peerpb.ResolveReply]
	}
	answer, err := put(ctx, c, address, timeout, func(ctx context.Context, client peerpb.DRPCPeerClient) (*peerpb.ResolveReply, error) {
		return client.Resolve(ctx, request)
	})
	if err != nil {
		return Resolution{}, err
	}
	state, known := states[answer.GetState()]
	resolution := Resolution{State: state, Known: known, Fingerprint: answer.GetFingerprint()}
	if !known || state != outcome.Done {
		return resolution, nil
	}
	resolution.Reply, err = checkedReply(&call.Request{AttemptID: q.AttemptID}, answer.GetReply())
	if err != nil {
		return Resolution{}, &Error{Address: address, Sent: true, Reason: call.ReasonCorrupt, Cause: err}
	}
	return resolution, nil
}

// Drop closes the idle connections to the node at the address, which was found silent.
func (c *Client) Drop(address string) {
	c.pool.Drop(address)
}

// Resolve answers what became of an attempt.
func (s *Server) Resolve(_ context.Context, m *peerpb.ResolveRequest) (*peerpb.ResolveReply, error) {
	resolution := s.keeper.Resolve(Question{
		AttemptID:   m.GetAttemptId(),
		Key:         m.GetKey(),
		Service:     m.GetService(),
		Incarnation: m.GetIncarnation(),
		Delegated:   m.GetDelegated(),
		Move:        m.GetMove(),
		MoveTo:      homeOf(m.GetMoveTo()),
	})
	if !resolution.Known {
		return &peerpb.ResolveReply{State: peerpb.ResolveReply_STATE_UNKNOWN}, nil
	}
	answer := &peerpb.ResolveReply{State: stateMessages[resolution.State], Fingerprint: resolution.Fingerprint}
	if resolution.State == outcome.Done {
		answer.Reply = replyMessage(m.GetAttemptId(), resolution.Reply)
	}
	return answer, nil
}
