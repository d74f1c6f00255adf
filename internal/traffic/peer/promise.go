package peer

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// PromiseQuestion asks a keeper of a shard for a promise, or takes it back.
type PromiseQuestion struct {
	Shard string
	Term  uint64
	// Until is in Unix milliseconds.
	Until int64
	Fence bool
	// Incarnation is the process that is asked.
	Incarnation uint64
}

// PromiseAnswer is the keeper's answer.
type PromiseAnswer struct {
	// Known is false where the asked process is another one.
	Known   bool
	Granted bool
	// Until is the latest end that was promised, with Fence, in Unix milliseconds.
	Until int64
}

// Promise asks the keeper at the address.
func (c *Client) Promise(ctx context.Context, address string, q PromiseQuestion, timeout time.Duration) (PromiseAnswer, error) {
	request := &peerpb.PromiseRequest{
		Shard:           q.Shard,
		Term:            q.Term,
		UntilUnixMillis: q.Until,
		Fence:           q.Fence,
		Incarnation:     q.Incarnation,
	}
	answer, err := ask(ctx, c, address, timeout, func(ctx context.Context, client peerpb.DRPCPeerClient) (*peerpb.PromiseReply, error) {
		return client.Promise(ctx, request)
	})
	if err != nil {
		return PromiseAnswer{}, err
	}
	return PromiseAnswer{Known: answer.GetKnown(), Granted: answer.GetGranted(), Until: answer.GetUntilUnixMillis()}, nil
}

// Promise answers as a keeper.
func (s *Server) Promise(_ context.Context, m *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	a := s.promiser.Promise(PromiseQuestion{
		Shard:       m.GetShard(),
		Term:        m.GetTerm(),
		Until:       m.GetUntilUnixMillis(),
		Fence:       m.GetFence(),
		Incarnation: m.GetIncarnation(),
	})
	return &peerpb.PromiseReply{Known: a.Known, Granted: a.Granted, UntilUnixMillis: a.Until}, nil
}
