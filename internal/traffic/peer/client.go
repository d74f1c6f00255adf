// Package peer sends requests between nodes over DRPC.
//
// # Usage
//
//	client := peer.NewClient(peer.ClientConfig{Pool: pool, Node: "node_1"})
//	reply, err := client.Call(ctx, address, request)
//
// The *Error returned by Call reports whether the other node may have started the request.
package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/net/http/httpguts"
	"storj.io/drpc"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// Error is the failure of an exchange with another node.
type Error struct {
	Address string
	// Sent reports whether the request was sent, so that the other node may have started it.
	Sent bool
	// Reason is the reason reported to the caller.
	Reason call.Reason
	// RetryAfter is how long to wait before the request may be sent again.
	RetryAfter time.Duration
	Cause      error
}

// Error returns the address, the reason and the cause on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Pool *Pool
	// Node is the name of this node, which requests hold as their source.
	Node string
	// Versions tells other nodes the version of the routes, and learns theirs. With nil, no versions are exchanged.
	Versions Versions
}

// Client sends requests to other nodes.
type Client struct {
	pool     *Pool
	node     string
	versions Versions
}

// NewClient returns a client with the configuration.
func NewClient(config ClientConfig) *Client {
	return &Client{pool: config.Pool, node: config.Node, versions: versionsOrNone(config.Versions)}
}

// use runs f on a pooled connection, or on a new one if the request asks for that.
func (c *Client) use(ctx context.Context, address string, r *call.Request, f func(drpc.Conn) error) error {
	if r.NewConnection {
		return c.pool.UseNew(ctx, address, f)
	}
	return c.pool.UseFor(ctx, UseOptions{Address: address, Rank: r.Root.Rank, Compress: r.IsCrossZone}, f)
}

// Call sends one attempt to the node at the address and returns its reply.
func (c *Client) Call(ctx context.Context, address string, r *call.Request) (call.Reply, error) {
	message := requestMessage(r, c.node, c.versions.InForce(), time.Now())
	var response *peerpb.CallReply
	var reply call.Reply
	sent := false
	err := c.use(ctx, address, r, func(conn drpc.Conn) (err error) {
		sent = true
		response, err = peerpb.NewDRPCPeerClient(conn).Call(ctx, message)
		if err != nil {
			return err
		}
		reply, err = checkAndParseReply(r, response)
		return err
	})
	if err != nil && !sent {
		return call.Reply{}, unsentError(ctx, address, err)
	}
	if err != nil {
		return call.Reply{}, noReplyError(ctx, address, err)
	}
	c.versions.HeardAt(address, response.GetRoutesVersion())
	return reply, nil
}

// unsentRetryAfter is how long to wait before a request is sent again that got no connection.
const unsentRetryAfter = 500 * time.Millisecond

// unsentError returns the error of a request that was not sent.
func unsentError(ctx context.Context, address string, err error) *Error {
	failure := &Error{Address: address, Reason: contextReason(ctx), RetryAfter: unsentRetryAfter, Cause: err}
	if trace.IsLimitExceeded(err) {
		failure.Reason = call.ReasonOverload
	}
	return failure
}

// noReplyError returns the error of a message that was sent, but got no reply, or a malformed one.
func noReplyError(ctx context.Context, address string, err error) *Error {
	reason := contextReason(ctx)
	if errors.Is(err, errMalformedReply) {
		reason = call.ReasonCorrupt
	}
	return &Error{Address: address, Sent: true, Reason: reason, Cause: err}
}

// query sends one query to the node at the address, on a new connection, because an existing one may have gone silent.
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
	// recentWindow is how recently a connection must have been used for queryRecent to reuse it.
	recentWindow = time.Second
	// recentTimeout is how long queryRecent waits for a reply on a reused connection before it opens a new one.
	recentTimeout = 120 * time.Millisecond
)

// queryRecent is like query, for queries that may be sent twice. Most such queries are sent because a reply takes long
// while the connections work. It therefore tries a recently used connection first, and opens a new one only if that
// gives no reply.
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

// errMalformedReply is returned for a reply that is none to its request. Its connection carries nothing more.
var errMalformedReply = errors.New("reply is malformed")

// checkAndParseReply returns the reply in the message, or errMalformedReply if the message isn't a reply to the request.
func checkAndParseReply(r *call.Request, response *peerpb.CallReply) (call.Reply, error) {
	if err := checkReply(r, response); err != nil {
		return call.Reply{}, fmt.Errorf("%w: %w", errMalformedReply, err)
	}
	reply, err := parseReply(response)
	if err != nil {
		return call.Reply{}, fmt.Errorf("%w: %w", errMalformedReply, err)
	}
	return reply, nil
}

func checkReply(r *call.Request, response *peerpb.CallReply) error {
	if response.GetAttemptId() != r.AttemptID {
		return fmt.Errorf("reply is for attempt %.40q, not %q", response.GetAttemptId(), r.AttemptID)
	}
	if _, known := outcomes[response.GetOutcome()]; !known {
		return fmt.Errorf("outcome %d is unknown", response.GetOutcome())
	}
	if !httpguts.ValidHeaderFieldValue(response.GetReason()) {
		return fmt.Errorf("reason %.40q can't stand in a header", response.GetReason())
	}
	return nil
}
