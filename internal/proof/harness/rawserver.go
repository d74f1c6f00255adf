package harness

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// RawServer is an HTTP server that answers requests with the bytes of a test, and counts its connections.
type RawServer struct {
	URL string

	respond     func() (response string, ends bool)
	connections atomic.Int64
}

// NewRawServer starts a server that writes the response that respond returns for each request, and ends the connection behind it
// if ends is true. It stops with the test.
func NewRawServer(t testing.TB, respond func() (response string, ends bool)) *RawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &RawServer{URL: "http://" + l.Addr().String(), respond: respond}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		group.Wait()
	})
	group.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			group.Go(func() { s.serve(ctx, conn) })
		}
	})
	return s
}

// Connections returns the number of connections that were opened.
func (s *RawServer) Connections() int64 {
	return s.connections.Load()
}

func (s *RawServer) serve(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for ends := false; !ends; {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		response := ""
		response, ends = s.respond()
		_, _ = io.WriteString(conn, response)
	}
}
