// Package peer carries requests between nodes over drpc.
//
// # Usage
//
//	client := peer.NewClient(pool, "node_1")
//	reply, err := client.Call(ctx, address, request)
//
// An *Error from Call says whether the other node may have begun the request.
package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// Error is a failed exchange with another node.
type Error struct {
	Address string
	// Sent says that the request was sent, so that the other node may have begun it.
	Sent bool
	// Reason is what a caller is told.
	Reason call.Reason
	// RetryAfter is when the request may be sent again.
	RetryAfter time.Duration
	Cause      error
}

// Error returns the failure on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Client sends requests to other nodes.
type Client struct {
	pool *Pool
	node string
}

// NewClient returns a client that names itself as the source node.
func NewClient(pool *Pool, node string) *Client {
	return &Client{pool: pool, node: node}
}

// use runs f on a kept connection, or on a new one where none that is kept is to be trusted.
func (c *Client) use(ctx context.Context, address string, r *call.Request, f func(drpc.Conn) error) error {
	if r.NewConnection {
		return c.pool.UseNew(ctx, address, f)
	}
	return c.pool.UseFor(ctx, Use{Address: address, Rank: r.Root.Rank, Packs: r.IsFar}, f)
}

// Call sends one attempt to the node at the address and returns its reply.
func (c *Client) Call(ctx context.Context, address string, r *call.Request) (call.Reply, error) {
	message := requestMessage(r, c.node, time.Now())
	var answer *peerpb.CallReply
	sent := false
	err := c.use(ctx, address, r, func(conn drpc.Conn) error {
		sent = true
		var err error
		answer, err = peerpb.NewDRPCPeerClient(conn).Call(ctx, message)
		return err
	})
	if err != nil && !sent {
		return call.Reply{}, notSent(ctx, address, err)
	}
	if err != nil {
		return call.Reply{}, unanswered(ctx, address, err)
	}
	reply, err := checkedReply(r, answer)
	if err != nil {
		return call.Reply{}, &Error{Address: address, Sent: true, Reason: call.ReasonCorrupt, Cause: err}
	}
	return reply, nil
}

// notSentRetry is when to come back after a request that found no connection.
const notSentRetry = 500 * time.Millisecond

func notSent(ctx context.Context, address string, err error) *Error {
	failure := &Error{Address: address, Reason: reasonOf(ctx), RetryAfter: notSentRetry, Cause: err}
	if trace.IsLimitExceeded(err) {
		failure.Reason = call.ReasonOverload
	}
	return failure
}

// unanswered is the failure of what was sent and got no answer.
func unanswered(ctx context.Context, address string, err error) *Error {
	return &Error{Address: address, Sent: true, Reason: reasonOf(ctx), Cause: err}
}

// ask puts one question to the node at the address, on a connection of its own, because an older one may be silent.
func ask[A any](ctx context.Context, c *Client, address string, timeout time.Duration, f func(context.Context, peerpb.DRPCPeerClient) (A, error)) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer A
	err := c.pool.UseNew(ctx, address, func(conn drpc.Conn) (err error) {
		answer, err = f(ctx, peerpb.NewDRPCPeerClient(conn))
		return err
	})
	if err != nil {
		return answer, unanswered(ctx, address, err)
	}
	return answer, nil
}

const (
	// recentUse is how long ago a connection was used at most to be trusted with a question.
	recentUse = time.Second
	// recentTimeout bounds the wait for an answer there, before the question goes out on a connection of its own.
	recentTimeout = 120 * time.Millisecond
)

// askSoon is ask for a question that may be put twice. Most such questions are about answers that only take long, so that a
// connection that worked a moment ago will do, and only where that gives no answer a new one is made.
func askSoon[A any](ctx context.Context, c *Client, address string, timeout time.Duration, f func(context.Context, peerpb.DRPCPeerClient) (A, error)) (A, error) {
	var answer A
	err := c.pool.UseRecent(address, recentUse, func(conn drpc.Conn) (err error) {
		ctx, cancel := context.WithTimeout(ctx, min(timeout, recentTimeout))
		defer cancel()
		answer, err = f(ctx, peerpb.NewDRPCPeerClient(conn))
		return err
	})
	if err == nil {
		return answer, nil
	}
	return ask(ctx, c, address, timeout, f)
}

func reasonOf(ctx context.Context) call.Reason {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return call.ReasonPeerSilent
	case context.Canceled:
		return call.ReasonCanceled
	default:
		return call.ReasonPeerUnreachable
	}
}

// checkedReply returns the reply in an answer that is one to the request.
func checkedReply(r *call.Request, answer *peerpb.CallReply) (call.Reply, error) {
	if err := checkReply(r, answer); err != nil {
		return call.Reply{}, err
	}
	return parseReply(answer)
}

func checkReply(r *call.Request, answer *peerpb.CallReply) error {
	if answer.GetAttemptId() != r.AttemptID {
		return fmt.Errorf("answer is for attempt %q, not %q", answer.GetAttemptId(), r.AttemptID)
	}
	if answer.GetOutcome() == peerpb.Outcome_OUTCOME_UNSPECIFIED {
		return fmt.Errorf("answer has no outcome")
	}
	return nil
}
