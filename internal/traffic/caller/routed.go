package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/drain"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/lineage"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// RoutedHeaders holds the names of the headers that callers exchange with a node that uses routes.
type RoutedHeaders struct {
	// RequestID carries the ID of the request.
	RequestID string
	// Timeout carries the timeout of the caller in milliseconds.
	Timeout string
	// CallerService carries the service of the instance from which the request was sent. The node sets it.
	CallerService string
}

// RoutedHandlerConfig configures a RoutedHandler.
type RoutedHandlerConfig struct {
	Board           *board.Loop
	Sender          Sender
	RunningRequests *call.RunningRequests
	Headers         RoutedHeaders
	// Service is the service of this instance.
	Service string
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
	// Drain returns the state of the drain, which determines which requests may begin.
	Drain func() drain.State
	// TakenLate is called for each call that begins while the node accepts only calls, with what was known of it. parent is
	// the running request that it is assigned to, or nil.
	TakenLate func(r *call.Request, parent *call.RunningRequest, known drain.Request)
	// Answered is called for each valid request that matched a route, with its reply and its latency.
	Answered func(r *call.Request, reply *call.Reply, latency time.Duration)
	// Rejected is called for each request that matches no route or is malformed.
	Rejected func(r *http.Request, reason call.Reason, text string)
}

// RoutedHandler serves requests whose service is determined by their host and path.
type RoutedHandler struct {
	config RoutedHandlerConfig

	// callDurations holds the durations of calls of each kind, without queueing delay, and durations those of all requests
	// of each kind, with it.
	callDurations *call.TypicalDurations[string]
	durations     *call.TypicalDurations[string]

	mu sync.Mutex
	// requestCounts holds the number of requests of each route that has several clusters.
	requestCounts map[string]*atomic.Uint64
}

// maxTypicalDurations is the maximum number of kinds whose typical duration is known.
const maxTypicalDurations = 1024

// NewRoutedHandler returns a RoutedHandler with the configuration.
func NewRoutedHandler(config RoutedHandlerConfig) *RoutedHandler {
	return &RoutedHandler{
		config:        config,
		callDurations: call.NewTypicalDurations[string](maxTypicalDurations),
		durations:     call.NewTypicalDurations[string](maxTypicalDurations),
		requestCounts: map[string]*atomic.Uint64{},
	}
}

// replyGracePeriod is how long to wait after the deadline for the reply of another node. That node gives up the request
// at the deadline, and only its reply shows whether the request ran.
const replyGracePeriod = 30 * time.Millisecond

// noRoutesRetryAfter is the Retry-After of a node that has no routes yet.
const noRoutesRetryAfter = 300 * time.Millisecond

// ServeHTTP implements http.Handler.
func (h *RoutedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	table := h.config.Board.Snapshot().Routes
	if table == nil {
		h.writeReply(w, call.Refused(call.NotRun, call.ReasonNoRoutes, noRoutesRetryAfter))
		return
	}
	route, ok := table.Match(r.Host, r.URL.Path)
	if !ok {
		h.reject(w, r, &rejection{call.ReasonUnknownKind, "no route for host " + strconv.Quote(r.Host) + " and this path"})
		return
	}
	request, refused := h.buildRequest(r, route)
	if refused != nil {
		h.reject(w, r, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline.Add(replyGracePeriod))
	defer cancel()
	reply := h.send(ctx, request)
	h.config.Answered(request, &reply, time.Since(request.ReceivedAt))
	h.writeReply(w, reply)
}

func (h *RoutedHandler) reject(w http.ResponseWriter, r *http.Request, refused *rejection) {
	h.config.Rejected(r, refused.reason, refused.text)
	reply := call.Refused(call.NotRun, refused.reason, 0)
	reply.Body = []byte(refused.text + "\n")
	h.writeReply(w, reply)
}

// send forwards the request if the node still accepts it. A call of the local backend server counts as a child of the
// running request that most likely made it.
func (h *RoutedHandler) send(ctx context.Context, request *call.Request) call.Reply {
	parent, isCall := h.config.RunningRequests.Parent(request.ReceivedAt, lineage.Call{Kind: request.Kind, Expires: request.CallerDeadline})
	if !h.accepts(request, parent, isCall) {
		return call.Refused(call.NotRun, call.ReasonDraining, 0)
	}
	if isCall {
		request.Depth = 1
	}
	reply := h.forward(ctx, request, parent)
	if reply.Outcome == call.Ran {
		h.durations.Observe(request.Kind, time.Since(request.ReceivedAt))
	}
	return reply
}

// accepts reports whether the request may begin.
func (h *RoutedHandler) accepts(request *call.Request, parent *call.RunningRequest, isCall bool) bool {
	state := h.config.Drain()
	if state.Phase == drain.Serving {
		return true
	}
	known := drain.Request{
		IsCall:   isCall,
		Deadline: request.Deadline,
		Duration: drain.Duration{Typical: h.durations.Of(request.Kind), Longest: h.durations.Longest(request.Kind)},
	}
	accepted := state.Accepts(request.ReceivedAt, known)
	if accepted && state.Phase == drain.Refusing {
		h.config.TakenLate(request, parent, known)
	}
	return accepted
}

// forward sends the request as a child of the parent, or as a root request if that is nil.
func (h *RoutedHandler) forward(ctx context.Context, request *call.Request, parent *call.RunningRequest) call.Reply {
	request.Attempts = call.NewAttemptAllowance(request.AttemptsLeft)
	if parent == nil {
		return h.config.Sender.Send(ctx, request)
	}
	inheritParent(request, parent)
	child := parent.BeginCall(time.Now(), h.callDurations.Of(request.Kind))
	reply := h.config.Sender.Send(ctx, request)
	parent.EndCall(time.Now(), child)
	parent.RecordReply(&reply)
	if reply.Failure() == call.ReasonNone {
		h.callDurations.Observe(request.Kind, time.Since(request.ReceivedAt)-reply.QueueingDelay)
	}
	return reply
}

func inheritParent(request *call.Request, parent *call.RunningRequest) {
	request.Root = parent.Root
	request.Depth = parent.Depth + 1
}

func (h *RoutedHandler) buildRequest(r *http.Request, route *routes.Route) (*call.Request, *rejection) {
	now := time.Now()
	callerTimeout, refused := h.callerTimeout(r, route)
	if refused != nil {
		return nil, refused
	}
	body, refused := readBody(r, h.config.MaxBody)
	if refused != nil {
		return nil, refused
	}
	id := r.Header.Get(h.config.Headers.RequestID)
	if id == "" {
		id = uuid.NewString()
	}
	return &call.Request{
		Root:           call.Root{ID: id, Start: now, Rank: route.Rank, Caller: callerOf(r)},
		Service:        route.Service(h.nextRequestNumber(route)),
		Kind:           route.Name,
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Header:         h.forwardedHeaders(r),
		Body:           body,
		Idempotent:     route.Idempotent,
		Deadline:       now.Add(min(callerTimeout, route.Timeout)),
		CallerDeadline: now.Add(callerTimeout),
		AttemptsLeft:   route.MaxAttempts - 1,
		TargetLatency:  route.TargetLatency,
		ReceivedAt:     now,
	}, nil
}

// nextRequestNumber returns the sequence number of a request of the route, by which the cluster is chosen. It is 0 if the
// route has only one cluster.
func (h *RoutedHandler) nextRequestNumber(route *routes.Route) uint64 {
	if len(route.Clusters) == 1 {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n, ok := h.requestCounts[route.Name]
	if !ok {
		n = &atomic.Uint64{}
		h.requestCounts[route.Name] = n
	}
	return n.Add(1)
}

// callerTimeout returns the timeout that the caller set, or that of the route if it set none.
func (h *RoutedHandler) callerTimeout(r *http.Request, route *routes.Route) (time.Duration, *rejection) {
	text := r.Header.Get(h.config.Headers.Timeout)
	if text == "" {
		return route.Timeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxDeadlineMs {
		return 0, &rejection{call.ReasonBadRequest, h.config.Headers.Timeout + " is not a number of milliseconds"}
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// forwardedHeaders returns the headers to forward to the backend server, including the host that the caller requested.
func (h *RoutedHandler) forwardedHeaders(r *http.Request) http.Header {
	header := forwardedHeaders(r.Header)
	header.Del(h.config.Headers.Timeout)
	header.Set(call.HostHeader, r.Host)
	header.Set(h.config.Headers.CallerService, h.config.Service)
	return header
}

// writeReply writes the response to the caller. The status of a request that has no response of the backend server shows
// whether it may have run.
func (h *RoutedHandler) writeReply(w http.ResponseWriter, reply call.Reply) {
	if reply.Outcome == call.Ran && reply.Check() != nil {
		reply = call.Refused(call.Unknown, call.ReasonCorrupt, 0)
	}
	if reply.Outcome == call.Ran && isPromise(reply.Status) {
		reply = call.Refused(call.Unknown, call.ReasonBackendFailed, 0)
	}
	header := w.Header()
	if reply.Outcome != call.Ran {
		setRefusalHeaders(header, &reply)
	}
	for name, values := range reply.Header {
		if !strings.HasPrefix(name, ownHeaderPrefix) {
			header[name] = values
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

// isPromise reports whether the status promises callers that the request was not run and never will be. A backend server
// that doesn't say so may have run the request, so its status must not be passed on.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// minRetryAfter prevents callers from retrying immediately.
const minRetryAfter = 50 * time.Millisecond

func setRefusalHeaders(header http.Header, reply *call.Reply) {
	reply.Status = refusalStatus(reply)
	header.Set(ReasonHeader, string(reply.Reason))
	header.Set(OutcomeHeader, reply.Outcome.String())
	if reply.Status == http.StatusServiceUnavailable {
		after := max(reply.RetryAfter, minRetryAfter)
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	if len(reply.Body) == 0 {
		reply.Body = []byte(reply.Reason.Entry().Text + "\n")
	}
}

// refusalStatus returns the status of a request that has no response of the backend server: 502 or 504 if it may have
// run, otherwise the status of its reason for a client error except ReasonCanceled, and 503 for all other reasons.
func refusalStatus(reply *call.Reply) int {
	status := reply.Reason.Entry().Status
	switch {
	case reply.Outcome == call.Unknown && status != http.StatusGatewayTimeout && reply.Reason != call.ReasonDeadline:
		return http.StatusBadGateway
	case reply.Outcome == call.Unknown:
		return http.StatusGatewayTimeout
	case status < http.StatusInternalServerError && status >= http.StatusBadRequest && reply.Reason != call.ReasonCanceled:
		return status
	}
	return http.StatusServiceUnavailable
}
