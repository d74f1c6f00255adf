package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// ReportIncompleteRequests makes the server tell of each connection that sent something and ended before it had sent a whole
// request head: a slow caller cut off by the header timeout, or bytes that are no HTTP. It is called before Serve.
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

// connTracker holds, for each connection that is in the middle of a request, whether its handler was reached.
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

// forget forgets the connection and reports whether it sent something but no whole request head.
func (w *connTracker) forget(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	handled, tracked := w.handled[conn]
	delete(w.handled, conn)
	return tracked && !handled
}
