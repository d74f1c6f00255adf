// Package backend connects a node to its local backend server. It admits requests, sends them to the backend server over
// HTTP, and receives the backend server's announcements.
//
// # Usage
//
//	gate := backend.NewGate(gateConfig)
//	client := backend.NewClient(backend.ClientConfig{MaxBody: 1 << 20}, runningRequests)
//	slot, refusal, admitted := gate.Acquire(ctx, request, 1)
//	if !admitted {
//		return refusal
//	}
//	result := client.Run(ctx, backend.Target{Address: "127.0.0.1:9001"}, request)
//	gate.Release(admission.Sample{HoldTime: result.HoldTime, SaturatedLimit: slot.SaturatedLimit})
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// Headers sent to the backend server with each request. The backend server copies the chain header to the calls that it
// makes for the request.
const (
	ChainHeader    = "Comfreyhoist-Chain"
	DeadlineHeader = "Comfreyhoist-Deadline-Ms"
	RankHeader     = "Comfreyhoist-Rank"
	KeyHeader      = "Idempotency-Key"
)

// Headers that the backend server may set on each response, about itself.
const (
	RateLimitHeader = "Comfreyhoist-Rate-Limit"
	LeavingHeader   = "Comfreyhoist-Leaving"
)

// Headers holds the names of the headers between a node and its backend server. A header with an empty name isn't used.
type Headers struct {
	// Chain, Rank and Key are set on each request.
	Chain, Rank, Key string
	// TimeLeft carries the time until the deadline of the request, in milliseconds.
	TimeLeft string
	// Instance identifies the start of the backend server that the request is for. No other start may run it.
	Instance string
	// RequestID carries the ID of the request. The response repeats it.
	RequestID string
	// Signature is set on every response that the backend server itself produced.
	Signature string
	// NotRun is set on the response when the backend server did not run the request.
	NotRun string
	// RateLimit is set on every response of a backend server that limits the rate of its requests, to the limit in
	// requests per second. Leaving is set on every response of a backend server that is about to stop.
	RateLimit, Leaving string
}

// DefaultHeaders are the headers of comfreyhoist's own backend interface.
var DefaultHeaders = Headers{
	Chain: ChainHeader, Rank: RankHeader, Key: KeyHeader, TimeLeft: DeadlineHeader,
	RateLimit: RateLimitHeader, Leaving: LeavingHeader,
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Headers defaults to DefaultHeaders.
	Headers Headers
	// MaxBody is the maximum size of a response body, in bytes.
	MaxBody int64
	// Liveness records whether the backend server responds or refuses connections. It may be nil.
	Liveness *Liveness
	// Stated is called with the statement in each response. It may be nil.
	Stated func(Statement)
}

// Client sends requests to the local backend server.
type Client struct {
	config          ClientConfig
	runningRequests *call.RunningRequests
	transport       transport
	tokens          atomic.Uint64
	sent            atomic.Uint64
	budget          readingBudget

	mu             sync.Mutex
	maxConnections int
}

// NewClient returns a client that registers each request in runningRequests while it runs.
func NewClient(config ClientConfig, runningRequests *call.RunningRequests) *Client {
	if config.Headers == (Headers{}) {
		config.Headers = DefaultHeaders
	}
	c := &Client{config: config, runningRequests: runningRequests}
	c.transport.budget = &c.budget
	c.SetMaxConnections(defaultMaxConnections)
	return c
}

// defaultMaxConnections is the connection limit until the backend server announces its own.
const defaultMaxConnections = 64

// SetMaxConnections sets the maximum number of connections to the backend server. Values below 1 are ignored.
func (c *Client) SetMaxConnections(maxConnections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if maxConnections <= 0 || maxConnections == c.maxConnections {
		return
	}
	c.maxConnections = maxConnections
	c.transport.setLimit(maxConnections)
}

// Result is the outcome of one request that was sent to the backend server.
type Result struct {
	Reply call.Reply
	// ServiceTime is how long the request took, without the calls that the backend server made for it.
	ServiceTime time.Duration
	// HoldTime is how long the request held its slot, calls included.
	HoldTime time.Duration
	// Overloaded reports whether the backend server itself shed the request. A 503 after it made calls for the request
	// doesn't count, because one of these calls may have caused it.
	Overloaded bool
	// ConnectionBroken reports whether the connection broke after the request was sent. Err then says how.
	ConnectionBroken bool
	Err              error
	// Downstream summarizes the calls that the backend server made for the request.
	Downstream call.DownstreamSummary
}

// Target identifies the backend server that runs a request.
type Target struct {
	Address string
	// Instance identifies the start of the backend server; empty if it announced no ID.
	Instance string
	// Refuse is called right before the request is sent, and returns its refusal if it must not be sent any more: the
	// request may have waited for a slot and a connection since it was admitted. It may be nil.
	Refuse func() (call.Reply, bool)
}

// refuse returns the refusal of a request that must not be sent any more.
func (t *Target) refuse() (call.Reply, bool) {
	if t.Refuse == nil {
		return call.Reply{}, false
	}
	return t.Refuse()
}

// Run sends the request to the backend server and reads the whole response.
func (c *Client) Run(ctx context.Context, target Target, r *call.Request) Result {
	token := c.newToken()
	running := c.runningRequests.Begin(ctx, token, r)
	defer c.runningRequests.End(token)
	start := time.Now()
	reply, err := c.exchange(ctx, target, r, token)
	end := time.Now()
	childTime := running.CallTime(end)
	result := Result{Reply: reply, ServiceTime: end.Sub(start) - childTime, HoldTime: end.Sub(start), Downstream: running.Downstream(end)}
	if err != nil {
		result.Reply = failedReply(ctx, err)
		result.ConnectionBroken = ctx.Err() == nil && err.sent && !errors.Is(err.cause, errResponseTooLarge)
		result.Err = err
	}
	result.Overloaded = err == nil && isOverloaded(&result.Reply) && childTime == 0
	running.CompleteReply(&result.Reply)
	result.Reply.QueueingDelay, result.Reply.CrossZoneBytes = result.Downstream.QueueingDelay, result.Downstream.CrossZoneBytes
	return result
}

// Sent returns the number of requests that were sent to the backend server, in whole or in part.
func (c *Client) Sent() uint64 {
	return c.sent.Load()
}

// newToken returns the token that identifies one running request. A token that is sent to the backend server is random,
// so that it is hard to guess; otherwise it is a sequence number.
func (c *Client) newToken() string {
	if c.config.Headers.Chain != "" {
		return uuid.NewString()
	}
	const base = 36
	return strconv.FormatUint(c.tokens.Add(1), base)
}

func isOverloaded(reply *call.Reply) bool {
	return reply.Status == http.StatusServiceUnavailable && (reply.Outcome == call.Ran || reply.Reason == call.ReasonBackendShed)
}

var (
	// errOtherRequest is returned if the responses on the connection belong, or may belong, to other requests.
	errOtherRequest = errors.New("response isn't identified as the request's own")
	// errContradiction is returned for a successful response that says that the request was not run.
	errContradiction = errors.New("successful response says that the request was not run")
	// errUnsigned is returned for a successful response that the backend server did not produce.
	errUnsigned = errors.New("response has no signature header")
)

// errResponseTooLarge is returned when the backend server ran the request, but its response body exceeds MaxBody.
var errResponseTooLarge = errors.New("response body exceeds the size limit")

// exchangeError is the failure of an exchange with the backend server.
type exchangeError struct {
	// sent reports whether the request may have been sent, in whole or in part.
	sent  bool
	cause error
}

func (e *exchangeError) Error() string {
	return fmt.Sprintf("backend server: %v", e.cause)
}

// exchange sends the request and reads the response on a connection that it uses exclusively.
func (c *Client) exchange(ctx context.Context, target Target, r *call.Request, token string) (call.Reply, *exchangeError) {
	request, err := c.newRequest(ctx, target, r, token)
	if err != nil {
		return call.Reply{}, &exchangeError{cause: err}
	}
	id := c.identityOf(r, token)
	conn, err := c.transport.get(ctx, target.Address, id)
	if err != nil {
		c.config.Liveness.recordError(ctx, err)
		return call.Reply{}, &exchangeError{cause: err}
	}
	if refusal, refused := target.refuse(); refused {
		c.transport.giveBack(target.Address, conn)
		return refusal, nil
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	reply, response, err := c.roundTrip(conn, request, target, id)
	notCanceled := stop()
	if err != nil {
		_ = conn.Close()
		if response == nil {
			c.config.Liveness.recordError(ctx, err)
		}
		return call.Reply{}, &exchangeError{sent: true, cause: err}
	}
	if notCanceled && id.allowsReuse(response) && conn.prepareReuse(time.Now(), response) {
		c.transport.put(target.Address, conn)
	} else {
		_ = conn.Close()
	}
	return reply, nil
}

// identityOf returns how a response to the request is identified: by the request's ID, or else by the token of this
// sending, which a backend server repeats if it can.
func (c *Client) identityOf(r *call.Request, token string) identity {
	if name := c.config.Headers.RequestID; name != "" {
		return identity{header: name, value: r.Header.Get(name)}
	}
	return identity{header: c.config.Headers.Chain, value: token, isOptional: true}
}

// maxStaleResponses is how many responses that aren't identified as the request's own are skipped while it waits for its
// response.
const maxStaleResponses = 2

// roundTrip sends the request on the connection and returns the reply. The HTTP response is nil if no response header was
// received. Late responses to earlier requests on the connection are skipped.
func (c *Client) roundTrip(conn *persistentConn, request *http.Request, target Target, id identity) (call.Reply, *http.Response, error) {
	sentAt, isFirst := time.Now(), conn.carried.isEmpty()
	c.sent.Add(1)
	conn.carried.add(id.value)
	if err := conn.send(&c.transport, request); err != nil {
		return call.Reply{}, nil, err
	}
	for staleCount := 0; ; staleCount++ {
		response, err := conn.receive(request)
		if err != nil {
			return call.Reply{}, nil, err
		}
		c.config.Liveness.recordResponse()
		if err := c.config.Headers.checkHead(response); err != nil {
			return call.Reply{}, response, err
		}
		isStale := !id.isOwn(response, isFirst, conn.repeatsIDs)
		if !isStale {
			c.reportStatement(target, response, sentAt)
		}
		body, err := c.readBody(response)
		if err == nil {
			err = conn.checkEnd(response)
		}
		switch {
		case isStale && err == nil && !isFirst && staleCount < maxStaleResponses:
			continue
		case isStale:
			err = errOtherRequest
		case err == nil:
			err = c.checkClaims(response)
		}
		if err != nil {
			return call.Reply{}, response, err
		}
		conn.repeatsIDs = conn.repeatsIDs || id.isIdentified(response)
		return c.toReply(response, body), response, nil
	}
}

// reportStatement reports the statement in the response. A response that another backend server sent, or that bears no
// signature although it should, says nothing about the backend server.
func (c *Client) reportStatement(target Target, response *http.Response, sentAt time.Time) {
	if c.config.Stated == nil || response.StatusCode == http.StatusMisdirectedRequest || c.checkSignature(response) != nil {
		return
	}
	s := c.config.Headers.statementOf(response.Header)
	s.Instance, s.SentAt, s.ReceivedAt = target.Instance, sentAt, time.Now()
	c.config.Stated(s)
}

func (c *Client) toReply(response *http.Response, body []byte) call.Reply {
	if c.isNotRun(response) {
		return call.Refused(call.NotRun, notRunReason(response.StatusCode), 0)
	}
	return call.Reply{Outcome: call.Ran, Status: response.StatusCode, Header: removeHopByHop(response.Header), Body: body}
}

func (c *Client) newRequest(ctx context.Context, target Target, r *call.Request, token string) (*http.Request, error) {
	body := io.Reader(http.NoBody)
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+target.Address+r.Path, body)
	if err != nil {
		return nil, err
	}
	c.setHeaders(request, target, r, token)
	return request, nil
}

// checkClaims returns an error for a response that contradicts itself, or that the backend server didn't produce.
func (c *Client) checkClaims(response *http.Response) error {
	if c.isNotRun(response) && response.StatusCode < http.StatusBadRequest {
		return errContradiction
	}
	return c.checkSignature(response)
}

// checkSignature returns errUnsigned for a successful response that the backend server didn't produce.
func (c *Client) checkSignature(response *http.Response) error {
	succeeded := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if name := c.config.Headers.Signature; name != "" && succeeded && response.Header.Get(name) == "" {
		return errUnsigned
	}
	return nil
}

// isNotRun reports whether the response says that the backend server did not run the request.
func (c *Client) isNotRun(response *http.Response) bool {
	name := c.config.Headers.NotRun
	return name != "" && (response.Header.Get(name) != "" || response.StatusCode == http.StatusMisdirectedRequest)
}

func notRunReason(status int) call.Reason {
	if status == http.StatusMisdirectedRequest {
		return call.ReasonNoInstance
	}
	return call.ReasonBackendShed
}

func (c *Client) setHeaders(request *http.Request, target Target, r *call.Request, token string) {
	for name, values := range r.Header {
		request.Header[name] = values
	}
	removeHopByHop(request.Header)
	if host := request.Header.Get(call.HostHeader); host != "" {
		request.Host = host
		request.Header.Del(call.HostHeader)
	}
	names := c.config.Headers
	setHeader(request, names.Chain, token)
	setHeader(request, names.TimeLeft, strconv.FormatInt(max(time.Until(r.Deadline).Milliseconds(), 1), 10))
	setHeader(request, names.Rank, strconv.Itoa(r.Root.Rank))
	setHeader(request, names.Key, r.Key)
	setHeader(request, names.Instance, target.Instance)
}

// setHeader sets the header, unless its name or value is empty.
func setHeader(request *http.Request, name, value string) {
	if name != "" && value != "" {
		request.Header.Set(name, value)
	}
}

func failedReply(ctx context.Context, err *exchangeError) call.Reply {
	outcome := call.Unknown
	if !err.sent {
		outcome = call.NotRun
	}
	return call.Refused(outcome, failureReason(ctx, err), 0)
}

func failureReason(ctx context.Context, err *exchangeError) call.Reason {
	switch {
	case errors.Is(err.cause, errResponseTooLarge):
		return call.ReasonResponseTooLarge
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.ReasonDeadline
	case errors.Is(ctx.Err(), context.Canceled):
		return call.ReasonCanceled
	}
	return call.ReasonBackendFailed
}

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of the headers without the hop-by-hop ones.
func EndToEnd(h http.Header) http.Header {
	result := h.Clone()
	if result == nil {
		result = http.Header{}
	}
	return removeHopByHop(result)
}

// removeHopByHop removes the hop-by-hop headers in place: those in the list, and those that the Connection header names.
func removeHopByHop(h http.Header) http.Header {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
	return h
}
