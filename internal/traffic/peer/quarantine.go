package peer

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// Blame sends evidence that a request crashes backend servers to the node at the address.
func (c *Client) Blame(ctx context.Context, address string, b quarantine.Blame) error {
	message := &peerpb.BlameRequest{
		Service:    b.Fingerprint.Service,
		Hash:       b.Fingerprint.Hash,
		Crash:      b.Crash,
		Crashes:    int32(b.Crashes),
		TermMicros: b.Term.Microseconds(),
	}
	err := c.pool.Use(ctx, address, func(conn drpc.Conn) error {
		_, err := peerpb.NewDRPCQuarantineClient(conn).Blame(ctx, message)
		return err
	})
	if err != nil {
		return noReplyError(ctx, address, err)
	}
	return nil
}

// EvidenceReceiver receives the evidence that other nodes have against requests.
type EvidenceReceiver interface {
	Learn(b quarantine.Blame)
}

// QuarantineServer serves the RPCs about requests that crash backend servers.
type QuarantineServer struct {
	peerpb.DRPCQuarantineUnimplementedServer

	receiver EvidenceReceiver
}

// NewQuarantineServer returns a server that passes evidence to the receiver.
func NewQuarantineServer(receiver EvidenceReceiver) *QuarantineServer {
	return &QuarantineServer{receiver: receiver}
}

// Blame passes the evidence to the receiver, which validates it.
func (s *QuarantineServer) Blame(_ context.Context, m *peerpb.BlameRequest) (*peerpb.BlameReply, error) {
	s.receiver.Learn(quarantine.Blame{
		Fingerprint: quarantine.Fingerprint{Service: m.GetService(), Hash: m.GetHash()},
		Crash:       m.GetCrash(),
		Crashes:     int(m.GetCrashes()),
		Term:        time.Duration(m.GetTermMicros()) * time.Microsecond,
	})
	return &peerpb.BlameReply{}, nil
}
