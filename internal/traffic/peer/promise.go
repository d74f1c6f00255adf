package peer

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// PromiseQuery asks a keeper of a shard for a promise, or takes it back.
type PromiseQuery struct {
	Shard string
	Term  uint64
	// Until is in Unix milliseconds.
	Until int64
	Fence bool
	// Incarnation is the process that is asked.
	Incarnation uint64
}

// PromiseResult is the keeper's answer.
type PromiseResult struct {
	// Known is false where the asked process is another one.
	Known   bool
	Granted bool
	// Until is the latest end that was promised, with Fence, in Unix milliseconds.
	Until int64
}

// Promise asks the keeper at the address.
func (c *Client) Promise(ctx context.Context, address string, q PromiseQuery, timeout time.Duration) (PromiseResult, error) {
	request := &peerpb.PromiseRequest{
		Shard:           q.Shard,
		Term:            q.Term,
		UntilUnixMillis: q.Until,
		Fence:           q.Fence,
		Incarnation:     q.Incarnation,
	}
	response, err := query(ctx, c, address, timeout, func(ctx context.Context, client peerpb.DRPCPeerClient) (*peerpb.PromiseReply, error) {
		return client.Promise(ctx, request)
	})
	if err != nil {
		return PromiseResult{}, err
	}
	return PromiseResult{Known: response.GetKnown(), Granted: response.GetGranted(), Until: response.GetUntilUnixMillis()}, nil
}

// Promise answers as a keeper.
func (s *Server) Promise(_ context.Context, m *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	a := s.promiser.Promise(PromiseQuery{
		Shard:       m.GetShard(),
		Term:        m.GetTerm(),
		Until:       m.GetUntilUnixMillis(),
		Fence:       m.GetFence(),
		Incarnation: m.GetIncarnation(),
	})
	return &peerpb.PromiseReply{Known: a.Known, Granted: a.Granted, UntilUnixMillis: a.Until}, nil
}
