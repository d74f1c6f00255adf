// Package caller serves HTTP requests of callers, and of the local backend server when it calls other services.
//
// # Usage
//
//	router := httprouter.New()
//	caller.Register(router, caller.Config{Board: loop, Sender: sender, Chains: runningRequests, MaxBody: 1 << 20})
//
// The headers and outcomes are described in docs/CALLERS.md.
package caller

import (
	"context"
	"errors"
	"io"
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

// Headers of requests and responses.
const (
	OutcomeHeader  = "Comfreyhoist-Outcome"
	ReasonHeader   = "Comfreyhoist-Reason"
	AttemptsHeader = "Comfreyhoist-Attempts-Used"
	CallerHeader   = "Comfreyhoist-Caller"
	DeadlineHeader = "Comfreyhoist-Deadline-Ms"
	// ResendHeader carries the number of times that the caller has sent the request before.
	ResendHeader = "Comfreyhoist-Resend"
)

const (
	// Path is the route of all calls.
	Path = pathPrefix + ":service/*path"
	// pathPrefix precedes the name of the service.
	pathPrefix = "/call/"
)

// Sender forwards a request to an instance of its service and returns the reply.
type Sender interface {
	Send(ctx context.Context, r *call.Request) call.Reply
}

// Config configures the handler.
type Config struct {
	Board           *board.Loop
	Sender          Sender
	RunningRequests *call.RunningRequests
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// Rejected is called for each request that is rejected before it is sent to an instance. It may be nil.
	Rejected func(r *http.Request, reason call.Reason, text string)
}

// Register adds the routes for calls to the router.
func Register(router *httprouter.Router, config Config) {
	h := &handler{config: config}
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		router.Handle(method, Path, h.serve)
	}
}

type handler struct {
	config Config
}

// rejection is the reason and the response text for a request that is refused before it is sent to an instance.
type rejection struct {
	reason call.Reason
	text   string
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	request, parent, refused := h.buildRequest(r, p)
	if refused != nil {
		h.reject(w, r, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	if parent != nil {
		stop := context.AfterFunc(parent.Context, cancel)
		defer stop()
	}
	h.writeReply(w, request, h.send(ctx, request, parent))
}

func (h *handler) reject(w http.ResponseWriter, r *http.Request, refused *rejection) {
	if h.config.Rejected != nil {
		h.config.Rejected(r, refused.reason, refused.text)
	}
	reply := call.Refused(rejectionOutcome(r), refused.reason, 0)
	reply.Body = []byte(refused.text + "\n")
	h.writeReply(w, nil, reply)
}

// rejectionOutcome returns the outcome of a rejected request. It is NotAdmitted if the caller set a key, because an
// earlier attempt under that key may have run.
func rejectionOutcome(r *http.Request) call.Outcome {
	if r.Header.Get(backend.KeyHeader) != "" {
		return call.NotAdmitted
	}
	return call.NotRun
}

// send forwards the request. A call of a running request uses the attempt allowance of that request and counts as its
// child.
func (h *handler) send(ctx context.Context, request *call.Request, parent *call.RunningRequest) call.Reply {
	if parent == nil {
		request.Attempts = call.NewAttemptAllowance(request.AttemptsLeft)
		return h.config.Sender.Send(ctx, request)
	}
	request.Attempts = parent.Attempts
	child := parent.BeginCall(time.Now(), 0)
	reply := h.config.Sender.Send(ctx, request)
	parent.EndCall(time.Now(), child)
	parent.RecordReply(&reply)
	return reply
}

func (h *handler) buildRequest(r *http.Request, p httprouter.Params) (*call.Request, *call.RunningRequest, *rejection) {
	accepted, kind, refused := h.matchKind(r, p)
	if refused != nil {
		return nil, nil, refused
	}
	request, refused := h.readRequest(r, p, kind)
	if refused != nil {
		return nil, nil, refused
	}
	request.AttemptsLeft = accepted.AttemptAllowance
	token := r.Header.Get(backend.ChainHeader)
	if h.config.RunningRequests.IsCanceled(token) {
		return nil, nil, &rejection{call.ReasonCanceled, backend.ChainHeader + " names a request that was canceled"}
	}
	parent := h.config.RunningRequests.Find(token)
	inheritRoot(request, r, kind, parent)
	return request, parent, nil
}

// matchKind returns the document of the requested service and the kind that the request matches.
func (h *handler) matchKind(r *http.Request, p httprouter.Params) (*document.Document, document.Kind, *rejection) {
	service := p.ByName("service")
	accepted, ok := h.config.Board.Snapshot().Documents.ByService[service]
	if !ok {
		return nil, document.Kind{}, &rejection{call.ReasonUnknownService, "service " + strconv.Quote(service) + " has no document"}
	}
	if refused := checkHeaders(r.Header); refused != nil {
		return nil, document.Kind{}, refused
	}
	kind, ok := accepted.Document.Match(r.Method, p.ByName("path"))
	if !ok {
		text := "no kind of " + service + " matches " + r.Method + " " + p.ByName("path")
		return nil, document.Kind{}, &rejection{call.ReasonUnknownKind, text}
	}
	return accepted.Document, kind, nil
}

// readRequest builds the request from what the caller sent.
func (h *handler) readRequest(r *http.Request, p httprouter.Params, kind document.Kind) (*call.Request, *rejection) {
	path, refused := pathOf(r, p)
	if refused != nil {
		return nil, refused
	}
	deadline, refused := deadlineOf(r, kind)
	if refused != nil {
		return nil, refused
	}
	resends, refused := resendsOf(r)
	if refused != nil {
		return nil, refused
	}
	body, refused := readBody(r, h.config.MaxBody)
	if refused != nil {
		return nil, refused
	}
	return &call.Request{
		Service:    p.ByName("service"),
		Kind:       kind.Name,
		Method:     r.Method,
		Path:       path,
		Header:     forwardedHeaders(r.Header),
		Body:       body,
		Idempotent: kind.Idempotent,
		Key:        r.Header.Get(backend.KeyHeader),
		Deadline:   deadline,
		Resends:    resends,
	}, nil
}

// inheritRoot copies the root from the running request that made the call, or creates a new root if parent is nil.
func inheritRoot(request *call.Request, r *http.Request, kind document.Kind, parent *call.RunningRequest) {
	if parent == nil {
		request.Root = call.Root{ID: uuid.NewString(), Start: time.Now(), Rank: kind.Rank, Caller: callerOf(r)}
		return
	}
	request.Root = parent.Root
	request.Depth = parent.Depth + 1
	if parent.Deadline.Before(request.Deadline) {
		request.Deadline = parent.Deadline
	}
}

// readBody returns the request body. It refuses a body of more than limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, *rejection) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &rejection{call.ReasonBodyTooLarge, "body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	}
	if err != nil {
		return nil, &rejection{call.ReasonBadRequest, "body could not be read: " + err.Error()}
	}
	return body, nil
}

// defaultRetryAfter is the Retry-After of a failure whose reply gives none.
const defaultRetryAfter = time.Second

// retryAfterMsHeader carries the Retry-After time in milliseconds, since Retry-After has whole seconds only.
const retryAfterMsHeader = "Comfreyhoist-Retry-After-Ms"

func (h *handler) writeReply(w http.ResponseWriter, request *call.Request, reply call.Reply) {
	if reply.Status < http.StatusOK || reply.Status > call.MaxStatus || reply.Check() != nil {
		reply = call.Refused(call.Unknown, call.ReasonCorrupt, 0)
	}
	if reply.Outcome != call.Ran && reply.Status >= http.StatusInternalServerError && reply.RetryAfter <= 0 {
		reply.RetryAfter = defaultRetryAfter
	}
	if reply.Outcome != call.Ran && len(reply.Body) == 0 && reply.Reason != call.ReasonNone {
		reply.Body = []byte(reply.Reason.Entry().Text + "\n")
	}
	header := w.Header()
	for name, values := range reply.Header {
		if !strings.HasPrefix(name, ownHeaderPrefix) {
			header[name] = values
		}
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
		header.Set(retryAfterMsHeader, strconv.FormatInt(reply.RetryAfter.Milliseconds(), 10))
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

func wholeSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
