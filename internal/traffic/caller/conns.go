package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// WatchConns makes the server tell of each connection that sent something and ended before it had sent a whole
// request head: a slow caller cut off by the header timeout, or bytes that are no HTTP. It is called before Serve.
func WatchConns(server *http.Server, ended func(remote string)) {
	w := &connWatch{ended: ended, served: map[net.Conn]bool{}}
	handler := server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = w.changed
	server.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			w.mark(conn)
		}
		handler.ServeHTTP(rw, r)
	})
}

type connKey struct{}

// connWatch holds, for each connection that is in the middle of a request, whether its handler was reached.
type connWatch struct {
	ended func(remote string)

	mu     sync.Mutex
	served map[net.Conn]bool
}

func (w *connWatch) mark(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.served[conn] = true
}

func (w *connWatch) changed(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		w.begin(conn)
	case http.StateIdle:
		w.end(conn)
	case http.StateClosed, http.StateHijacked:
		if w.end(conn) {
			w.ended(conn.RemoteAddr().String())
		}
	}
}

func (w *connWatch) begin(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, stands := w.served[conn]; !stands {
		w.served[conn] = false
	}
}

// end forgets the connection and reports whether it sent something but no whole request head.
func (w *connWatch) end(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	served, stands := w.served[conn]
	delete(w.served, conn)
	return stands && !served
}
