package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// ReportIncompleteRequests makes the server call report with the remote address of each connection that sent data but
// ended before it had sent a complete request header. The causes are callers that exceed the header timeout and data that
// is not HTTP. It must be called before server.Serve.
func ReportIncompleteRequests(server *http.Server, report func(remote string)) {
	tracker := &connTracker{report: report, handled: map[net.Conn]bool{}}
	handler := server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = tracker.stateChanged
	server.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			tracker.markHandled(conn)
		}
		handler.ServeHTTP(rw, r)
	})
}

type connKey struct{}

// connTracker records for each connection with a request in progress whether the request has reached the handler.
type connTracker struct {
	report func(remote string)

	mu      sync.Mutex
	handled map[net.Conn]bool
}

func (t *connTracker) markHandled(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handled[conn] = true
}

func (t *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		t.begin(conn)
	case http.StateIdle:
		t.forget(conn)
	case http.StateClosed, http.StateHijacked:
		if t.forget(conn) {
			t.report(conn.RemoteAddr().String())
		}
	}
}

func (t *connTracker) begin(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, tracked := t.handled[conn]; !tracked {
		t.handled[conn] = false
	}
}

// forget removes the connection and reports whether it sent data but no complete request header.
func (t *connTracker) forget(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	handled, tracked := t.handled[conn]
	delete(t.handled, conn)
	return tracked && !handled
}
