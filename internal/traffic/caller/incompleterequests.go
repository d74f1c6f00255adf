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
	w := &connTracker{report: report, handled: map[net.Conn]bool{}}
	handler := server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = w.stateChanged
	server.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			w.markHandled(conn)
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

func (w *connTracker) markHandled(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handled[conn] = true
}

func (w *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		w.begin(conn)
	case http.StateIdle:
		w.forget(conn)
	case http.StateClosed, http.StateHijacked:
		if w.forget(conn) {
			w.report(conn.RemoteAddr().String())
		}
	}
}

func (w *connTracker) begin(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, tracked := w.handled[conn]; !tracked {
		w.handled[conn] = false
	}
}

// forget removes the connection and reports whether it sent data but no complete request header.
func (w *connTracker) forget(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	handled, tracked := w.handled[conn]
	delete(w.handled, conn)
	return tracked && !handled
}
