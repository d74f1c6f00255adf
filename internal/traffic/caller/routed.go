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
	// TimeLeft is how many milliseconds the caller waits.
	TimeLeft string
	// CallerService is the service of the instance where the request began. The node sets it.
	CallerService string
}

// RoutedConfig sets a Routed up.
type RoutedConfig struct {
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

// Routed serves requests whose host and path choose the service.
type Routed struct {
	config RoutedConfig

	// usual are the times that calls of each kind take without what they wait.
	usual *call.UsualTimes[string]

	mu      sync.Mutex
	numbers map[string]*atomic.Uint64
}

// maxUsual bounds the kinds whose usual time is known.
const maxUsual = 1024

// NewRouted returns a handler.
func NewRouted(config RoutedConfig) *Routed {
	return &Routed{config: config, usual: call.NewUsualTimes[string](maxUsual), numbers: map[string]*atomic.Uint64{}}
}

// answerGrace is how long the answer of another node is waited for after the deadline. That node gives up the request at the
// deadline, and only its answer tells whether the request ran.
const answerGrace = 30 * time.Millisecond

// startRetry is when to come back to a node that knows no routes yet.
const startRetry = 300 * time.Millisecond

// ServeHTTP answers one request.
func (h *Routed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	table := h.config.Board.Snapshot().Routes
	if table == nil {
		h.write(w, call.Refused(call.NotRun, call.ReasonNoRoutes, startRetry))
		return
	}
	route, ok := table.Match(r.Host, r.URL.Path)
	if !ok {
		h.reject(w, r, &rejection{call.ReasonUnknownKind, "no route for host " + strconv.Quote(r.Host) + " and this path"})
		return
	}
	request, refused := h.request(r, route)
	if refused != nil {
		h.reject(w, r, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline.Add(answerGrace))
	defer cancel()
	reply := h.send(ctx, request)
	h.config.Answered(request, &reply, time.Since(request.Entered))
	h.write(w, reply)
}

func (h *Routed) reject(w http.ResponseWriter, r *http.Request, refused *rejection) {
	h.config.Rejected(r, refused.reason, refused.text)
	reply := call.Refused(call.NotRun, refused.reason, 0)
	reply.Body = []byte(refused.text + "\n")
	h.write(w, reply)
}

// send sends the request on. A call of the local backend server waits on behalf of the request that it is made for.
func (h *Routed) send(ctx context.Context, request *call.Request) call.Reply {
	parent, isCall := h.config.Chains.Parent(request.Entered, lineage.Call{Kind: request.Kind, Expires: request.CallerWaits})
	if isCall {
		request.Depth = 1
	}
	if parent == nil {
		request.Attempts = call.NewAttempts(request.AttemptsLeft)
		return h.config.Sender.Send(ctx, request)
	}
	inheritFrom(request, parent)
	request.Attempts = call.NewAttempts(request.AttemptsLeft)
	child := parent.BeginChild(time.Now(), h.usual.Of(request.Kind))
	reply := h.config.Sender.Send(ctx, request)
	parent.EndChild(time.Now(), child)
	parent.NoteReply(&reply)
	if reply.Failure() == call.ReasonNone {
		h.usual.Learn(request.Kind, time.Since(request.Entered)-reply.Waited)
	}
	return reply
}

func inheritFrom(request *call.Request, parent *call.Chain) {
	request.Root = parent.Root
	request.Depth = parent.Depth + 1
}

func (h *Routed) request(r *http.Request, route *routes.Route) (*call.Request, *rejection) {
	now := time.Now()
	asked, refused := h.timeLeft(r, route)
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
		Root:         call.Root{ID: id, Start: now, Rank: route.Rank, Caller: callerOf(r)},
		Service:      route.Service(h.number(route)),
		Kind:         route.Name,
		Method:       r.Method,
		Path:         r.URL.RequestURI(),
		Header:       h.forwarded(r),
		Body:         body,
		Idempotent:   route.Idempotent,
		Deadline:     now.Add(min(asked, route.Timeout)),
		CallerWaits:  now.Add(asked),
		AttemptsLeft: route.Attempts - 1,
		Target:       route.Target,
		Entered:      now,
	}, nil
}

// number counts the requests of a route.
func (h *Routed) number(route *routes.Route) uint64 {
	if len(route.Clusters) == 1 {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n, ok := h.numbers[route.Name]
	if !ok {
		n = &atomic.Uint64{}
		h.numbers[route.Name] = n
	}
	return n.Add(1)
}

// timeLeft returns how long the caller waits.
func (h *Routed) timeLeft(r *http.Request, route *routes.Route) (time.Duration, *rejection) {
	text := r.Header.Get(h.config.Headers.TimeLeft)
	if text == "" {
		return route.Timeout, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxDeadlineMs {
		return 0, &rejection{call.ReasonBadRequest, h.config.Headers.TimeLeft + " is not a number of milliseconds"}
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// forwarded returns the headers for the backend server, with the host that the caller asked for.
func (h *Routed) forwarded(r *http.Request) http.Header {
	header := forwarded(r.Header)
	header.Del(h.config.Headers.TimeLeft)
	header.Set("Host", r.Host)
	header.Set(h.config.Headers.CallerService, h.config.Service)
	return header
}

// write answers. What was refused before it ran gets a status that says so, and when to come back.
func (h *Routed) write(w http.ResponseWriter, reply call.Reply) {
	if reply.Outcome == call.Ran && (reply.Status < http.StatusOK || reply.Status > highestStatus || !wellFormed(reply.Header)) {
		reply = call.Refused(call.Unknown, call.ReasonCorrupt, 0)
	}
	header := w.Header()
	if reply.Outcome != call.Ran {
		refusalHeaders(header, &reply)
	}
	for name, values := range reply.Header {
		if !strings.HasPrefix(name, ownPrefix) {
			header[name] = values
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}

// leastRetryAfter keeps callers from coming back at once.
const leastRetryAfter = 50 * time.Millisecond

func refusalHeaders(header http.Header, reply *call.Reply) {
	reply.Status = refusalStatus(reply)
	header.Set(ReasonHeader, string(reply.Reason))
	header.Set(OutcomeHeader, reply.Outcome.String())
	if reply.Status == http.StatusServiceUnavailable {
		after := max(reply.RetryAfter, leastRetryAfter)
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
