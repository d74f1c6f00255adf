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
	"github.com/comfreyhoist/comfreyhoist/internal/decide/lineage"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// RoutedHeaders names the headers between callers and a node that goes by routes.
type RoutedHeaders struct {
	// RequestID is the request's own name.
	RequestID string
	// Timeout is how many milliseconds the caller waits.
	Timeout string
	// CallerService is the service of the instance where the request began. The node sets it.
	CallerService string
}

// RoutedHandlerConfig sets a Routed up.
type RoutedHandlerConfig struct {
	Board  *board.Loop
	Sender Sender
	Chains *call.Chains
	// Headers are those between callers and this node.
	Headers RoutedHeaders
	// Service is that of this instance.
	Service string
	// MaxBody is in bytes.
	MaxBody int64
	// Answered is told of each request that was matched to a route.
	Answered func(r *call.Request, reply *call.Reply, took time.Duration)
	// Rejected is told of each request that was refused as malformed.
	Rejected func(r *http.Request, reason call.Reason, text string)
}

// RoutedHandler serves requests whose host and path choose the service.
type RoutedHandler struct {
	config RoutedHandlerConfig

	// typicalDurations are the times that calls of each kind take without what they wait.
	typicalDurations *call.TypicalDurations[string]

	mu            sync.Mutex
	requestCounts map[string]*atomic.Uint64
}

// maxTypicalDurations bounds the kinds whose usual time is known.
const maxTypicalDurations = 1024

// NewRoutedHandler returns a handler.
func NewRoutedHandler(config RoutedHandlerConfig) *RoutedHandler {
	return &RoutedHandler{config: config, typicalDurations: call.NewTypicalDurations[string](maxTypicalDurations), requestCounts: map[string]*atomic.Uint64{}}
}

// replyGracePeriod is how long the answer of another node is waited for after the deadline. That node gives up the request at the
// deadline, and only its answer tells whether the request ran.
const replyGracePeriod = 30 * time.Millisecond

// noRoutesRetryAfter is when to come back to a node that knows no routes yet.
const noRoutesRetryAfter = 300 * time.Millisecond

// ServeHTTP answers one request.
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

// send sends the request on. A call of the local backend server waits on behalf of the request that it is made for.
func (h *RoutedHandler) send(ctx context.Context, request *call.Request) call.Reply {
	parent, isCall := h.config.Chains.Parent(request.ReceivedAt, lineage.Call{Kind: request.Kind, Expires: request.CallerDeadline})
	if isCall {
		request.Depth = 1
	}
	if parent == nil {
		request.Attempts = call.NewAttempts(request.AttemptsLeft)
		return h.config.Sender.Send(ctx, request)
	}
	inheritParent(request, parent)
	request.Attempts = call.NewAttempts(request.AttemptsLeft)
	child := parent.BeginChild(time.Now(), h.typicalDurations.Of(request.Kind))
	reply := h.config.Sender.Send(ctx, request)
	parent.EndChild(time.Now(), child)
	parent.RecordReply(&reply)
	if reply.Failure() == call.ReasonNone {
		h.typicalDurations.Observe(request.Kind, time.Since(request.ReceivedAt)-reply.QueueingDelay)
	}
	return reply
}

func inheritParent(request *call.Request, parent *call.Chain) {
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

// nextRequestNumber counts the requests of a route.
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

// callerTimeout returns how long the caller waits.
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

// forwardedHeaders returns the headers for the backend server, with the host that the caller asked for.
func (h *RoutedHandler) forwardedHeaders(r *http.Request) http.Header {
	header := forwardedHeaders(r.Header)
	header.Del(h.config.Headers.Timeout)
	header.Set("Host", r.Host)
	header.Set(h.config.Headers.CallerService, h.config.Service)
	return header
}

// writeReply answers. What was refused before it ran gets a status that says so, and when to come back.
func (h *RoutedHandler) writeReply(w http.ResponseWriter, reply call.Reply) {
	if reply.Outcome == call.Ran && (reply.Status < http.StatusOK || reply.Status > maxStatus || !areHeadersValid(reply.Header)) {
		reply = call.Refused(call.Unknown, call.ReasonCorrupt, 0)
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

// minRetryAfter keeps callers from coming back at once.
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

// refusalStatus returns 503 for what has not run, and a status that promises nothing for what may have.
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
