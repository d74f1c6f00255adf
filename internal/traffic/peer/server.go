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

// Server answers the RPCs of other nodes.
type Server struct {
	peerpb.DRPCPeerUnimplementedServer

	receiver Receiver
}

// NewServer returns a server that hands requests to the receiver.
func NewServer(receiver Receiver) *Server {
	return &Server{receiver: receiver}
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
