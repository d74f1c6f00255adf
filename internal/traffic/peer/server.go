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

// ServerConfig configures a Server.
type ServerConfig struct {
	// Receiver handles requests.
	Receiver Receiver
	// Outcomes handles queries about attempts, and handovers of keys.
	Outcomes OutcomeStore
	// Promiser handles queries about shards.
	Promiser Promiser
	// Versions tells other nodes the version of the routes, and learns theirs. With nil, no versions are exchanged.
	Versions Versions
}

// Server serves the RPCs of other nodes.
type Server struct {
	peerpb.DRPCPeerUnimplementedServer

	receiver Receiver
	outcomes OutcomeStore
	promiser Promiser
	versions Versions
}

// NewServer returns a server with the configuration.
func NewServer(config ServerConfig) *Server {
	return &Server{
		receiver: config.Receiver, outcomes: config.Outcomes, promiser: config.Promiser, versions: versionsOrNone(config.Versions),
	}
}

// Call passes one attempt to the receiver and returns its reply. A malformed request is refused as not admitted.
func (s *Server) Call(ctx context.Context, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	r, err := parseRequest(m, time.Now())
	if err != nil {
		refusal := call.Refused(call.NotAdmitted, call.ReasonBadRequest, 0)
		refusal.Body = []byte(err.Error())
		return replyMessage(m.GetAttemptId(), refusal), nil
	}
	s.versions.Heard(r.SourceNode, m.GetRoutesVersion())
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(r.ReplyGrace))
	defer cancel()
	reply := replyMessage(r.AttemptID, s.receiver.Receive(ctx, r))
	reply.RoutesVersion = s.versions.InForce()
	return reply, nil
}
