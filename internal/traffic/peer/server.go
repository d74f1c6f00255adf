package peer

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// Receiver runs requests that other nodes send here.
type Receiver interface {
	Receive(ctx context.Context, r *call.Request) call.Reply
}

// OutcomeStore remembers attempts and keys.
type OutcomeStore interface {
	Resolve(q ResolveQuery) Resolution
	// TakeOver takes in a part of a leaving node's keys. False says that no part will ever be taken; an error, that
	// the part is for another process, which may have taken it.
	TakeOver(ctx context.Context, p HandoverPart) (bool, error)
}

// Promiser answers as a keeper of shards.
type Promiser interface {
	Promise(q PromiseQuery) PromiseResult
}

// Server answers the RPCs of other nodes.
type Server struct {
	peerpb.DRPCPeerUnimplementedServer

	receiver Receiver
	outcomes OutcomeStore
	promiser Promiser
}

// NewServer returns a server that hands requests to the receiver, questions about them to the keeper, and questions
// about shards to the promiser.
func NewServer(receiver Receiver, outcomes OutcomeStore, promiser Promiser) *Server {
	return &Server{receiver: receiver, outcomes: outcomes, promiser: promiser}
}

// Call runs one attempt.
func (s *Server) Call(ctx context.Context, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	r, err := parseRequest(m, time.Now())
	if err != nil {
		refusal := call.Refused(call.NotAdmitted, call.ReasonBadRequest, 0)
		refusal.Body = []byte(err.Error())
		return replyMessage(m.GetAttemptId(), refusal), nil
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return replyMessage(r.AttemptID, s.receiver.Receive(ctx, r)), nil
}
