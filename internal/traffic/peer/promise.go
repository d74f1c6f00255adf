package peer

import (
	"context"
	"time"

	"storj.io/drpc"

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
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &peerpb.PromiseRequest{
		Shard:           q.Shard,
		Term:            q.Term,
		UntilUnixMillis: q.Until,
		Fence:           q.Fence,
		Incarnation:     q.Incarnation,
	}
	var answer *peerpb.PromiseReply
	err := c.pool.UseNew(ctx, address, func(conn drpc.Conn) (err error) {
		answer, err = peerpb.NewDRPCPeerClient(conn).Promise(ctx, request)
		return err
	})
	if err != nil {
		return PromiseAnswer{}, &Error{Address: address, Sent: true, Reason: reasonOf(ctx), Cause: err}
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
