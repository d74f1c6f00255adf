// Package caller speaks HTTP to callers, and to the local backend server when it calls other services.
//
// # Usage
//
//	router := httprouter.New()
//	caller.Register(router, caller.Config{Board: loop, Sender: sender, Chains: chains, MaxBody: 1 << 20})
//
// The headers and outcomes are described in docs/CALLERS.md.
package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// Headers of requests and answers.
const (
	OutcomeHeader  = "Comfreyhoist-Outcome"
	ReasonHeader   = "Comfreyhoist-Reason"
	AttemptsHeader = "Comfreyhoist-Attempts-Used"
	CallerHeader   = "Comfreyhoist-Caller"
	DeadlineHeader = "Comfreyhoist-Deadline-Ms"
)

// Path is the route of all calls.
const Path = "/call/:service/*path"

// Sender sends a request on and returns its reply.
type Sender interface {
	Send(ctx context.Context, r *call.Request) call.Reply
}

// Config sets the handler up.
type Config struct {
	Board  *board.Loop
	Sender Sender
	Chains *call.Chains
	// MaxBody is in bytes.
	MaxBody int64
}

// Register adds the route for calls to the router.
func Register(router *httprouter.Router, config Config) {
	h := &handler{config: config}
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, Path, h.serve)
	}
}

type handler struct {
	config Config
}

// rejection is a request that was refused before it was sent anywhere.
type rejection struct {
	reason call.Reason
	text   string
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	request, chain, refused := h.request(r, p)
	if refused != nil {
		reply := call.Refused(refusedOutcome(r), refused.reason, 0)
		reply.Body = []byte(refused.text + "\n")
		h.write(w, nil, reply)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	if chain != nil {
		stop := context.AfterFunc(chain.Running, cancel)
		defer stop()
	}
	h.write(w, request, h.send(ctx, request, chain))
}

// refusedOutcome returns the outcome of a request that was sent nowhere. Under a caller's key, an earlier attempt may
// have run.
func refusedOutcome(r *http.Request) call.Outcome {
	if r.Header.Get(backend.KeyHeader) != "" {
		return call.NotAdmitted
	}
	return call.NotRun
}

// send charges the attempts to the chain that the call belongs to.
func (h *handler) send(ctx context.Context, request *call.Request, chain *call.Chain) call.Reply {
	if chain == nil {
		return h.config.Sender.Send(ctx, request)
	}
	request.AttemptsLeft = chain.TakeAttempts()
	chain.BeginChild(time.Now())
	reply := h.config.Sender.Send(ctx, request)
	chain.EndChild(time.Now())
	chain.ReturnAttempts(request.AttemptsLeft, reply.AttemptsUsed)
	return reply
}

func (h *handler) request(r *http.Request, p httprouter.Params) (*call.Request, *call.Chain, *rejection) {
	service := p.ByName("service")
	accepted, ok := h.config.Board.Snapshot().Documents.ByService[service]
	if !ok {
		return nil, nil, &rejection{call.ReasonUnknownService, "service " + strconv.Quote(service) + " has no document"}
	}
	kind, ok := accepted.Document.Match(r.Method, p.ByName("path"))
	if !ok {
		return nil, nil, &rejection{call.ReasonUnknownKind, "no kind of " + service + " matches " + r.Method + " " + p.ByName("path")}
	}
	deadline, refused := deadlineOf(r, kind)
	if refused != nil {
		return nil, nil, refused
	}
	body, refused := h.body(r)
	if refused != nil {
		return nil, nil, refused
	}
	request := &call.Request{
		Service:      service,
		Kind:         kind.Name,
		Method:       r.Method,
		Path:         pathOf(r, p),
		Header:       forwarded(r.Header),
		Body:         body,
		Idempotent:   kind.Idempotent,
		Key:          r.Header.Get(backend.KeyHeader),
		Deadline:     deadline,
		AttemptsLeft: accepted.Document.Attempts,
	}
	chain := h.config.Chains.Find(r.Header.Get(backend.ChainHeader))
	inherit(request, r, kind, chain)
	return request, chain, nil
}

// inherit takes the root from the chain, or starts one.
func inherit(request *call.Request, r *http.Request, kind document.Kind, chain *call.Chain) {
	if chain == nil {
		request.Root = call.Root{ID: uuid.NewString(), Start: time.Now(), Rank: kind.Rank, Caller: callerOf(r)}
		return
	}
	request.Root = chain.Root
	request.Depth = chain.Depth + 1
	if chain.Deadline.Before(request.Deadline) {
		request.Deadline = chain.Deadline
	}
}

func deadlineOf(r *http.Request, kind document.Kind) (time.Time, *rejection) {
	deadline := time.Now().Add(kind.Deadline)
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return deadline, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds < 0 {
		return deadline, &rejection{call.ReasonBadRequest, DeadlineHeader + " is not a number of milliseconds"}
	}
	asked := time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
	if asked.Before(deadline) {
		return asked, nil
	}
	return deadline, nil
}

func (h *handler) body(r *http.Request) ([]byte, *rejection) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, h.config.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &rejection{call.ReasonBodyTooLarge, "body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	}
	if err != nil {
		return nil, &rejection{call.ReasonBadRequest, "body could not be read: " + err.Error()}
	}
	return body, nil
}

func pathOf(r *http.Request, p httprouter.Params) string {
	path := p.ByName("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// forwarded returns the headers that the backend server gets.
func forwarded(h http.Header) http.Header {
	kept := backend.EndToEnd(h)
	for name := range kept {
		if strings.HasPrefix(name, "Comfreyhoist-") {
			kept.Del(name)
		}
	}
	return kept
}

// callerOf names the caller: what it calls itself, else its IP.
func callerOf(r *http.Request) string {
	if name := r.Header.Get(CallerHeader); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func (h *handler) write(w http.ResponseWriter, request *call.Request, reply call.Reply) {
	header := w.Header()
	for name, values := range reply.Header {
		header[name] = values
	}
	header.Set(OutcomeHeader, reply.Outcome.String())
	header.Set(AttemptsHeader, strconv.Itoa(reply.AttemptsUsed))
	if reply.Reason != call.ReasonNone {
		header.Set(ReasonHeader, string(reply.Reason))
	}
	if request != nil && request.Key != "" {
		header.Set(backend.KeyHeader, request.Key)
	}
	if reply.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(reply.RetryAfter)))
		header.Set("Comfreyhoist-Retry-After-Ms", strconv.FormatInt(reply.RetryAfter.Milliseconds(), 10))
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
