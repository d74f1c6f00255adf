package peer

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// Blame tells the node at the address what is known against a request.
func (c *Client) Blame(ctx context.Context, address string, b quarantine.Blame) error {
	message := &peerpb.BlameRequest{
		Service:    b.Fingerprint.Service,
		Kind:       b.Fingerprint.Kind,
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

// EvidenceReceiver takes in what other nodes know against requests.
type EvidenceReceiver interface {
	Learn(b quarantine.Blame)
}

// QuarantineServer answers the RPCs about requests that crash backend servers.
type QuarantineServer struct {
	peerpb.DRPCQuarantineUnimplementedServer

	receiver EvidenceReceiver
}

// NewQuarantineServer returns a server that hands evidence to the learner.
func NewQuarantineServer(receiver EvidenceReceiver) *QuarantineServer {
	return &QuarantineServer{receiver: receiver}
}

// Blame takes in the evidence. The learner checks it.
func (s *QuarantineServer) Blame(_ context.Context, m *peerpb.BlameRequest) (*peerpb.BlameReply, error) {
	s.receiver.Learn(quarantine.Blame{
		Fingerprint: quarantine.Fingerprint{Service: m.GetService(), Kind: m.GetKind(), Hash: m.GetHash()},
		Crash:       m.GetCrash(),
		Crashes:     int(m.GetCrashes()),
		Term:        time.Duration(m.GetTermMicros()) * time.Microsecond,
	})
	return &peerpb.BlameReply{}, nil
}
