// Package backend speaks to the local backend server: it admits requests, passes them on over HTTP, and listens to
// the backend server's announcements.
//
// # Usage
//
//	gate := backend.NewGate(admission.GateConfig{...})
//	client := backend.NewClient(chains)
//	reply, sample := client.Run(ctx, "127.0.0.1:9001", request)
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

// Headers that a backend server gets with each request. It sends the chain header on with its own calls.
const (
	ChainHeader    = "Comfreyhoist-Chain"
	DeadlineHeader = "Comfreyhoist-Deadline-Ms"
	RankHeader     = "Comfreyhoist-Rank"
	KeyHeader      = "Idempotency-Key"
)

// Headers names the headers between a node and its backend server. An empty name stands for a header that isn't used.
type Headers struct {
	// Chain, Rank and Key go with each request.
	Chain, Rank, Key string
	// TimeLeft is how many milliseconds the node waits.
	TimeLeft string
	// Instance names the start of the backend server that alone may run the request.
	Instance string
	// RequestID is the request's own name, which an answer repeats.
	RequestID string
	// Signature stands on every answer that the backend server made.
	Signature string
	// NotRun stands on an answer of a backend server that did not run the request.
	NotRun string
}

// DefaultHeaders are those of the product's own interface.
var DefaultHeaders = Headers{Chain: ChainHeader, Rank: RankHeader, Key: KeyHeader, TimeLeft: DeadlineHeader}

// ClientConfig sets a Client up.
type ClientConfig struct {
	// Headers is DefaultHeaders where it is zero.
	Headers Headers
	// MaxBody bounds the body of an answer, in bytes.
	MaxBody int64
	// Liveness learns whether the backend server answers or refuses connections; nil for nobody.
	Liveness *Liveness
}

// Client runs requests on the local backend server.
type Client struct {
	config    ClientConfig
	chains    *call.Chains
	transport transport
	tokens    atomic.Uint64

	mu             sync.Mutex
	maxConnections int
}

// NewClient returns a client that enters each running request in chains.
func NewClient(config ClientConfig, chains *call.Chains) *Client {
	if config.Headers == (Headers{}) {
		config.Headers = DefaultHeaders
	}
	c := &Client{config: config, chains: chains}
	c.SetMaxConnections(defaultMaxConnections)
	return c
}

// defaultMaxConnections holds until the backend server has announced how many it gives.
const defaultMaxConnections = 64

// SetMaxConnections bounds the connections to the backend server.
func (c *Client) SetMaxConnections(connections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connections <= 0 || connections == c.maxConnections {
		return
	}
	c.maxConnections = connections
	c.transport.setLimit(connections)
}

// Result is what running a request told about the backend server.
type Result struct {
	Reply call.Reply
	// ServiceTime is the time without the calls down the chain.
	ServiceTime time.Duration
	// HoldTime is the whole time for which the request held its slot.
	HoldTime time.Duration
	// Overloaded says that the backend server itself shed the request. A 503 after calls down the chain isn't its own.
	Overloaded bool
	// ConnectionBroken says that the connection broke after the request was sent.
	ConnectionBroken bool
	// Downstream is what the calls that the backend server made for the request came to.
	Downstream call.Below
}

// Target is the backend server that is to run a request.
type Target struct {
	Address string
	// Instance names its start; empty where it gave no name.
	Instance string
}

// Run sends the request to the backend server and waits for the whole answer.
func (c *Client) Run(ctx context.Context, target Target, r *call.Request) Result {
	token := c.newToken()
	chain := c.chains.Begin(ctx, token, r)
	defer c.chains.End(token)
	start := time.Now()
	reply, err := c.exchange(ctx, target, r, token)
	end := time.Now()
	childTime := chain.ChildTime(end)
	result := Result{Reply: reply, ServiceTime: end.Sub(start) - childTime, HoldTime: end.Sub(start), Downstream: chain.Below(end)}
	if err != nil {
		result.Reply = failedReply(ctx, err)
		result.ConnectionBroken = ctx.Err() == nil && err.sent && !errors.Is(err.cause, errResponseTooLarge)
	}
	result.Overloaded = err == nil && isOverloaded(&result.Reply) && childTime == 0
	chain.Settle(&result.Reply)
	result.Reply.Waited, result.Reply.FarBytes = result.Downstream.Waited, result.Downstream.FarBytes
	return result
}

// newToken returns the token of one request. Only one that the backend server gets must be hard to guess.
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
	// errOtherRequest says that an answer belongs to another request.
	errOtherRequest = errors.New("the answer is for another request")
	// errUnsigned says that an answer isn't the backend server's.
	errUnsigned = errors.New("the answer bears no signature")
)

// errResponseTooLarge says that the backend server ran the request, but that its answer can't be passed on.
var errResponseTooLarge = errors.New("answer is too large")

// exchangeError is a failed exchange with the backend server.
type exchangeError struct {
	sent  bool
	cause error
}

func (e *exchangeError) Error() string {
	return fmt.Sprintf("backend server: %v", e.cause)
}

// exchange sends the request and reads the answer, on a connection of its own for the time.
func (c *Client) exchange(ctx context.Context, target Target, r *call.Request, token string) (call.Reply, *exchangeError) {
	request, err := c.newRequest(ctx, target, r, token)
	if err != nil {
		return call.Reply{}, &exchangeError{cause: err}
	}
	conn, err := c.transport.get(ctx, target.Address)
	if err != nil {
		c.config.Liveness.recordError(ctx, err)
		return call.Reply{}, &exchangeError{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	reply, response, err := c.roundTrip(conn, request, r)
	notCanceled := stop()
	if err != nil {
		_ = conn.Close()
		if response == nil {
			c.config.Liveness.recordError(ctx, err)
		}
		return call.Reply{}, &exchangeError{sent: true, cause: err}
	}
	if notCanceled && conn.prepareReuse(time.Now(), response) {
		c.transport.put(target.Address, conn)
	} else {
		_ = conn.Close()
	}
	return reply, nil
}

// maxStaleResponses is how many answers to earlier requests are passed over.
const maxStaleResponses = 2

// roundTrip sends the request on the connection and returns the answer, with its head where one came. An answer that comes late, to a
// request before, is passed over.
func (c *Client) roundTrip(conn *persistentConn, request *http.Request, r *call.Request) (call.Reply, *http.Response, error) {
	if err := conn.send(&c.transport, request); err != nil {
		return call.Reply{}, nil, err
	}
	for staleCount := 0; ; staleCount++ {
		response, err := conn.receive(request)
		if err != nil {
			return call.Reply{}, nil, err
		}
		c.config.Liveness.recordResponse()
		body, err := c.readBody(response)
		isStale := c.isForOtherRequest(r, response)
		switch {
		case isStale && err == nil && conn.served && staleCount < maxStaleResponses:
			continue
		case isStale:
			err = errOtherRequest
		case err == nil:
			err = c.checkSignature(response)
		}
		if err != nil {
			return call.Reply{}, response, err
		}
		return c.toReply(response, body), response, nil
	}
}

func (c *Client) readBody(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > c.config.MaxBody {
		return nil, errResponseTooLarge
	}
	body, err := ReadBody(response.Body, response.ContentLength, c.config.MaxBody+1)
	if err == nil && int64(len(body)) > c.config.MaxBody {
		err = errResponseTooLarge
	}
	return body, err
}

// ReadBody reads a body of the length, or of up to the most bytes where the length isn't known, which is then below 0.
func ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(io.LimitReader(body, limit))
	}
	content := make([]byte, min(length, limit))
	_, err := io.ReadFull(body, content)
	return content, err
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

// isForOtherRequest reports whether the answer belongs to another request.
func (c *Client) isForOtherRequest(r *call.Request, response *http.Response) bool {
	name := c.config.Headers.RequestID
	return name != "" && response.Header.Get(name) != "" && response.Header.Get(name) != r.Header.Get(name)
}

// checkSignature finds successes that the backend server didn't make.
func (c *Client) checkSignature(response *http.Response) error {
	succeeded := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	if name := c.config.Headers.Signature; name != "" && succeeded && response.Header.Get(name) == "" {
		return errUnsigned
	}
	return nil
}

// isNotRun reports whether the backend server says that it did not run the request.
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

// hostHeader carries the host that the caller asked for between nodes.
const hostHeader = "Host"

func (c *Client) setHeaders(request *http.Request, target Target, r *call.Request, token string) {
	for name, values := range r.Header {
		request.Header[name] = values
	}
	removeHopByHop(request.Header)
	if host := request.Header.Get(hostHeader); host != "" {
		request.Host = host
		request.Header.Del(hostHeader)
	}
	names := c.config.Headers
	setHeader(request, names.Chain, token)
	setHeader(request, names.TimeLeft, strconv.FormatInt(max(time.Until(r.Deadline).Milliseconds(), 1), 10))
	setHeader(request, names.Rank, strconv.Itoa(r.Root.Rank))
	setHeader(request, names.Key, r.Key)
	setHeader(request, names.Instance, target.Instance)
}

// setHeader sets a header that has a name and a value.
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
		return call.ReasonAnswerTooLarge
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return call.ReasonDeadline
	case errors.Is(ctx.Err(), context.Canceled):
		return call.ReasonCanceled
	}
	return call.ReasonBackendFailed
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of the headers without those that concern one connection only.
func EndToEnd(h http.Header) http.Header {
	result := h.Clone()
	if result == nil {
		result = http.Header{}
	}
	return removeHopByHop(result)
}

// removeHopByHop takes out the headers that concern one connection only: known ones, and those that Connection names.
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
