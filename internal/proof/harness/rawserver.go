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

// RawServer runs a script on each of its connections, and counts them.
type RawServer struct {
	// Address is the IP and port on which the server accepts connections.
	Address string

	connections atomic.Int64
}

// NewRawServer starts a server that runs the script on each connection and closes the connection behind it. The test ends when
// all scripts have ended.
func NewRawServer(t testing.TB, script func(conn net.Conn, requests *bufio.Reader)) *RawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &RawServer{Address: l.Addr().String()}
	var group conc.WaitGroup
	t.Cleanup(func() {
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
			group.Go(func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
			})
		}
	})
	return s
}

// Connections returns the number of connections that were opened.
func (s *RawServer) Connections() int64 {
	return s.connections.Load()
}

// NewScriptedHTTPServer starts a server that answers each request with the bytes that respond returns, and ends the connection behind
// them if ends is true. Its connections end with the test.
func NewScriptedHTTPServer(t testing.TB, respond func() (response string, ends bool)) *RawServer {
	ctx, cancel := context.WithCancel(context.Background())
	s := NewRawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
		for ends := false; !ends; {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			response := ""
			response, ends = respond()
			_, _ = io.WriteString(conn, response)
		}
	})
	t.Cleanup(cancel)
	return s
}
