package peer

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// Receiver handles requests from other nodes.
type Receiver interface {
	Receive(ctx context.Context, r *call.Request) call.Reply
}

// OutcomeStore remembers the outcomes of attempts and of idempotency keys.
type OutcomeStore interface {
	// Resolve returns the state of an attempt.
	Resolve(q ResolveQuery) Resolution
	// TakeOver accepts a part of a leaving node's keys. False means that no part will ever be accepted. An error means
	// that the part is for another process, which may have accepted it.
	TakeOver(ctx context.Context, p HandoverPart) (bool, error)
}

// Promiser answers queries as a keeper of shards.
type Promiser interface {
	Promise(q PromiseQuery) PromiseResult
}

// Server serves the RPCs of other nodes.
type Server struct {
	peerpb.DRPCPeerUnimplementedServer

	receiver Receiver
	outcomes OutcomeStore
	promiser Promiser
}

// NewServer returns a server that passes requests to the receiver, queries about attempts and handovers to outcomes,
// and queries about shards to the promiser.
func NewServer(receiver Receiver, outcomes OutcomeStore, promiser Promiser) *Server {
	return &Server{receiver: receiver, outcomes: outcomes, promiser: promiser}
}

// Call passes one attempt to the receiver and returns its reply. A malformed request is refused as not admitted.
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
