package peer

import (
	"context"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// State is what a node knows of an attempt that was sent to it.
type State int

// The states.
const (
	// Absent means that the attempt has not arrived.
	Absent State = iota
	// Running means that it may be running.
	Running
	// Done means that it has its reply.
	Done
	// Fenced means that it has not run and that no copy sent so far will.
	Fenced
	// Unknown means that the node can't tell, because it is not the one that the attempt was sent to.
	Unknown
)

var stateMessages = map[State]peerpb.ResolveReply_State{
	Absent:  peerpb.ResolveReply_STATE_ABSENT,
	Running: peerpb.ResolveReply_STATE_RUNNING,
	Done:    peerpb.ResolveReply_STATE_DONE,
	Fenced:  peerpb.ResolveReply_STATE_FENCED,
	Unknown: peerpb.ResolveReply_STATE_UNKNOWN,
}

func stateOf(m peerpb.ResolveReply_State) State {
	for s, message := range stateMessages {
		if message == m {
			return s
		}
	}
	return Unknown
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
	// Fence decides an attempt that has not arrived not to run.
	Fence bool
}

// Resolution is the answer to a Question.
type Resolution struct {
	State State
	// Reply is set with Done.
	Reply call.Reply
}

// Resolve asks the node at the address on a connection of its own, because an older one may be silent.
func (c *Client) Resolve(ctx context.Context, address string, q Question, timeout time.Duration) (Resolution, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &peerpb.ResolveRequest{
		AttemptId:   q.AttemptID,
		Key:         q.Key,
		Service:     q.Service,
		Incarnation: q.Incarnation,
		Delegated:   q.Delegated,
		Fence:       q.Fence,
	}
	var answer *peerpb.ResolveReply
	err := c.pool.UseNew(ctx, address, func(conn *drpcconn.Conn) (err error) {
		answer, err = peerpb.NewDRPCPeerClient(conn).Resolve(ctx, request)
		return err
	})
	if err != nil {
		return Resolution{}, &Error{Address: address, Sent: true, Reason: reasonOf(ctx), Cause: err}
	}
	resolution := Resolution{State: stateOf(answer.GetState())}
	if resolution.State != Done {
		return resolution, nil
	}
	if err := checkReply(&call.Request{AttemptID: q.AttemptID}, answer.GetReply()); err != nil {
		return Resolution{}, &Error{Address: address, Sent: true, Reason: call.ReasonCorrupt, Cause: err}
	}
	resolution.Reply = replyOf(answer.GetReply())
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
		Fence:       m.GetFence(),
	})
	answer := &peerpb.ResolveReply{State: stateMessages[resolution.State]}
	if resolution.State == Done {
		answer.Reply = replyMessage(m.GetAttemptId(), resolution.Reply)
	}
	return answer, nil
}
