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
	"net/http/httptrace"
	"strconv"
	"sync"
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

// ClientConfig sets a Client up.
type ClientConfig struct {
	// MaxBody bounds the body of an answer, in bytes.
	MaxBody int64
	// Presence learns whether the backend server answers or refuses connections; nil for nobody.
	Presence *Presence
}

// Client runs requests on the local backend server.
type Client struct {
	config ClientConfig
	chains *call.Chains

	dialer dialer

	mu          sync.Mutex
	connections int
	http        *http.Client
}

// NewClient returns a client that enters each running request in chains.
func NewClient(config ClientConfig, chains *call.Chains) *Client {
	c := &Client{config: config, chains: chains}
	c.SetConnections(defaultConnections)
	return c
}

// defaultConnections holds until the backend server has announced how many it gives.
const defaultConnections = 64

// SetConnections bounds the connections to the backend server.
func (c *Client) SetConnections(connections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connections <= 0 || connections == c.connections {
		return
	}
	c.connections = connections
	c.dialer.setMost(connections)
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:         c.dialer.dial,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Result is what running a request told about the backend server.
type Result struct {
	Reply call.Reply
	// Took is the time without the calls down the chain.
	Took time.Duration
	// Held is the whole time for which the request held its slot.
	Held time.Duration
	// Overloaded says that the backend server itself shed the request. A 503 after calls down the chain isn't its own.
	Overloaded bool
	// Broken says that the connection broke after the request was sent.
	Broken bool
}

// Run sends the request to the backend server at the address and waits for the whole answer.
func (c *Client) Run(ctx context.Context, address string, r *call.Request) Result {
	token := uuid.NewString()
	chain := c.chains.Begin(ctx, token, r)
	defer c.chains.End(token)
	start := time.Now()
	reply, err := c.exchange(ctx, address, r, token)
	end := time.Now()
	below := chain.ChildTime(end)
	result := Result{Reply: reply, Took: end.Sub(start) - below, Held: end.Sub(start)}
	if err != nil {
		result.Reply = failedReply(ctx, err)
		result.Broken = ctx.Err() == nil && err.sent && !errors.Is(err.cause, errAnswerTooLarge)
	}
	result.Overloaded = err == nil && result.Reply.Status == http.StatusServiceUnavailable && below == 0
	chain.Settle(&result.Reply)
	return result
}

// errAnswerTooLarge says that the backend server ran the request, but that its answer can't be passed on.
var errAnswerTooLarge = errors.New("answer is too large")

// exchangeError is a failed exchange with the backend server.
type exchangeError struct {
	sent  bool
	cause error
}

func (e *exchangeError) Error() string {
	return fmt.Sprintf("backend server: %v", e.cause)
}

func (c *Client) exchange(ctx context.Context, address string, r *call.Request, token string) (call.Reply, *exchangeError) {
	sent := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent = true },
	})
	request, err := http.NewRequestWithContext(traced, r.Method, "http://"+address+r.Path, http.NoBody)
	if err != nil {
		return call.Reply{}, &exchangeError{cause: err}
	}
	setHeaders(request, r, token)
	setBody(request, r.Body)
	client := c.client()
	defer c.retire(client)
	response, err := client.Do(request)
	if err != nil {
		c.config.Presence.noteError(ctx, err)
		return call.Reply{}, &exchangeError{sent: sent, cause: err}
	}
	c.config.Presence.noteAnswer()
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxBody+1))
	if err == nil && int64(len(body)) > c.config.MaxBody {
		err = errAnswerTooLarge
	}
	if err != nil {
		return call.Reply{}, &exchangeError{sent: true, cause: err}
	}
	return call.Reply{Outcome: call.Ran, Status: response.StatusCode, Header: EndToEnd(response.Header), Body: body}, nil
}

func (c *Client) client() *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.http
}

// retire closes the idle connections of a client that is no longer the one in use.
func (c *Client) retire(used *http.Client) {
	if c.client() != used {
		used.CloseIdleConnections()
	}
}

// setBody sets a body that can't be read twice. The transport would otherwise send a request with an idempotency key,
// or a GET, once more by itself where a kept connection breaks, and the backend server could run it twice.
func setBody(request *http.Request, body []byte) {
	request.Body = io.NopCloser(bytes.NewReader(body))
	request.ContentLength = int64(len(body))
	request.GetBody = nil
}

func setHeaders(request *http.Request, r *call.Request, token string) {
	for name, values := range EndToEnd(r.Header) {
		request.Header[name] = values
	}
	request.Header.Set(ChainHeader, token)
	request.Header.Set(DeadlineHeader, strconv.FormatInt(time.Until(r.Deadline).Milliseconds(), 10))
	request.Header.Set(RankHeader, strconv.Itoa(r.Root.Rank))
	if r.Key != "" {
		request.Header.Set(KeyHeader, r.Key)
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
	case errors.Is(err.cause, errAnswerTooLarge):
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
	kept := h.Clone()
	if kept == nil {
		kept = http.Header{}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}
