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
	return c.pool.UseFor(ctx, UseOptions{Address: address, Rank: r.Root.Rank, Compress: r.IsFar}, f)
}

// Call sends one attempt to the node at the address and returns its reply.
func (c *Client) Call(ctx context.Context, address string, r *call.Request) (call.Reply, error) {
	message := requestMessage(r, c.node, time.Now())
	var response *peerpb.CallReply
	sent := false
	err := c.use(ctx, address, r, func(conn drpc.Conn) error {
		sent = true
		var err error
		response, err = peerpb.NewDRPCPeerClient(conn).Call(ctx, message)
		return err
	})
	if err != nil && !sent {
		return call.Reply{}, unsentError(ctx, address, err)
	}
	if err != nil {
		return call.Reply{}, noReplyError(ctx, address, err)
	}
	reply, err := checkAndParseReply(r, response)
	if err != nil {
		return call.Reply{}, &Error{Address: address, Sent: true, Reason: call.ReasonCorrupt, Cause: err}
	}
	return reply, nil
}

// unsentRetryAfter is when to come back after a request that found no connection.
const unsentRetryAfter = 500 * time.Millisecond

func unsentError(ctx context.Context, address string, err error) *Error {
	failure := &Error{Address: address, Reason: contextReason(ctx), RetryAfter: unsentRetryAfter, Cause: err}
	if trace.IsLimitExceeded(err) {
		failure.Reason = call.ReasonOverload
	}
	return failure
}

// noReplyError is the failure of what was sent and got no answer.
func noReplyError(ctx context.Context, address string, err error) *Error {
	return &Error{Address: address, Sent: true, Reason: contextReason(ctx), Cause: err}
}

// query puts one question to the node at the address, on a connection of its own, because an older one may be silent.
func query[A any](ctx context.Context, c *Client, address string, timeout time.Duration, f func(context.Context, peerpb.DRPCPeerClient) (A, error)) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var response A
	err := c.pool.UseNew(ctx, address, func(conn drpc.Conn) (err error) {
		response, err = f(ctx, peerpb.NewDRPCPeerClient(conn))
		return err
	})
	if err != nil {
		return response, noReplyError(ctx, address, err)
	}
	return response, nil
}

const (
	// recentWindow is how long ago a connection was used at most to be trusted with a question.
	recentWindow = time.Second
	// recentTimeout bounds the wait for an answer there, before the question goes out on a connection of its own.
	recentTimeout = 120 * time.Millisecond
)

// queryRecent is ask for a question that may be put twice. Most such questions are about answers that only take long, so that a
// connection that worked a moment ago will do, and only where that gives no answer a new one is made.
func queryRecent[A any](ctx context.Context, c *Client, address string, timeout time.Duration, f func(context.Context, peerpb.DRPCPeerClient) (A, error)) (A, error) {
	var response A
	err := c.pool.UseRecent(address, recentWindow, func(conn drpc.Conn) (err error) {
		ctx, cancel := context.WithTimeout(ctx, min(timeout, recentTimeout))
		defer cancel()
		response, err = f(ctx, peerpb.NewDRPCPeerClient(conn))
		return err
	})
	if err == nil {
		return response, nil
	}
	return query(ctx, c, address, timeout, f)
}

func contextReason(ctx context.Context) call.Reason {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return call.ReasonPeerSilent
	case context.Canceled:
		return call.ReasonCanceled
	default:
		return call.ReasonPeerUnreachable
	}
}

// checkAndParseReply returns the reply in an answer that is one to the request.
func checkAndParseReply(r *call.Request, response *peerpb.CallReply) (call.Reply, error) {
	if err := checkReply(r, response); err != nil {
		return call.Reply{}, err
	}
	return parseReply(response)
}

func checkReply(r *call.Request, response *peerpb.CallReply) error {
	if response.GetAttemptId() != r.AttemptID {
		return fmt.Errorf("answer is for attempt %q, not %q", response.GetAttemptId(), r.AttemptID)
	}
	if response.GetOutcome() == peerpb.Outcome_OUTCOME_UNSPECIFIED {
		return fmt.Errorf("answer has no outcome")
	}
	return nil
}
