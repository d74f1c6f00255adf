package peer

import (
	"context"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// PromiseQuery asks a keeper of a shard to promise that the shard ends at Until, or fences the keeper: it then gives no
// further promise for the shard in the term.
type PromiseQuery struct {
	Shard string
	Term  uint64
	// Until is the new end of the shard, in Unix milliseconds.
	Until int64
	// Fence reports whether the query fences the keeper instead of asking for a promise.
	Fence bool
	// Incarnation identifies the process that the query is for.
	Incarnation uint64
}

// PromiseResult is a keeper's reply to a PromiseQuery.
type PromiseResult struct {
	// Known is false if a process with another incarnation received the query.
	Known bool
	// Granted reports whether the keeper gave the promise.
	Granted bool
	// Until is the latest end that the keeper promised, in Unix milliseconds. It is set for queries with Fence.
	Until int64
}

// Promise sends the query to the keeper at the address.
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

// Promise answers a query as a keeper.
func (s *Server) Promise(_ context.Context, m *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	result := s.promiser.Promise(PromiseQuery{
		Shard:       m.GetShard(),
		Term:        m.GetTerm(),
		Until:       m.GetUntilUnixMillis(),
		Fence:       m.GetFence(),
		Incarnation: m.GetIncarnation(),
	})
	return &peerpb.PromiseReply{Known: result.Known, Granted: result.Granted, UntilUnixMillis: result.Until}, nil
}
