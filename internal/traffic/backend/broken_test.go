package backend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// smallBody and longBody are sizes of a request body in bytes: one that is sent at once, and one that no socket buffers.
	smallBody = 10
	longBody  = 8 << 20
	// requestTimeout is the time until the deadline of a request. One that fails for another reason than its deadline has not
	// waited for it.
	requestTimeout = 3 * time.Second
)

// troubledServer is a backend server that answers requests with the header Break in its own way, before it reads their body, and
// all others like a sound one. It counts the requests that arrive on a connection behind such a response.
type troubledServer struct {
	*scriptedServer
	mu     sync.Mutex
	behind int
}

// newTroubledServer starts a server that calls answer for each request with the header Break, with its ID.
func newTroubledServer(t *testing.T, answer func(conn net.Conn, id string)) *troubledServer {
	s := &troubledServer{}
	s.scriptedServer = newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		broken := false
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if broken {
				s.mu.Lock()
				s.behind++
				s.mu.Unlock()
			}
			id := r.Header.Get("Request-Name")
			if r.Header.Get("Break") == "" {
				_, _ = io.Copy(io.Discard, r.Body)
				write(conn, result(id))
				continue
			}
			broken = true
			answer(conn, id)
			_, _ = io.Copy(io.Discard, r.Body)
		}
	})
	return s
}

// requestsBehind returns the number of requests that arrived behind the response to a request with the header Break.
func (s *troubledServer) requestsBehind() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind
}

// run sends a request with the header Break and a body of the given size, after a sound one on the same connection if that is
// asked for, and returns its result.
func (s *troubledServer) run(t *testing.T, client *backend.Client, bodySize int, kept bool) backend.Result {
	if kept {
		s.runSound(t, client)
	}
	r := newRequestWithID("broken")
	r.Header.Set("Break", "1")
	r.Body = []byte(strings.Repeat("b", bodySize))
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	return client.Run(ctx, backend.Target{Address: s.address}, r)
}

// runSound sends a request that the server answers like a sound one.
func (s *troubledServer) runSound(t *testing.T, client *backend.Client) {
	is := is.New(t)
	reply := client.Run(t.Context(), backend.Target{Address: s.address}, newRequestWithID("sound")).Reply
	is.Equal(reply.Outcome, call.Ran)
	is.Equal(string(reply.Body), "sound")
}

// checkNoReply checks that a request with the header Break gets no response of the server, that it fails at once and may have
// run, and that its connection carries nothing more.
func (s *troubledServer) checkNoReply(t *testing.T, bodySize int, kept bool) {
	is := is.New(t)
	client := newIdentifyingClient()
	defer client.SetMaxConnections(1) // closes the idle connections
	got := s.run(t, client, bodySize, kept)
	is.Equal(got.Reply.Outcome, call.Unknown)
	is.Equal(got.Reply.Reason, call.ReasonBackendFailed) // at once, not at the deadline
	is.True(got.ConnectionBroken)
	s.runSound(t, client)
	is.Equal(s.requestsBehind(), 0)
}

// forEachWay runs the test with small and long requests, on new and kept connections.
func forEachWay(t *testing.T, test func(t *testing.T, bodySize int, kept bool)) {
	for name, bodySize := range map[string]int{"small request": smallBody, "long request": longBody} {
		t.Run(name+", new connection", func(t *testing.T) { test(t, bodySize, false) })
		t.Run(name+", kept connection", func(t *testing.T) { test(t, bodySize, true) })
	}
}

// reset closes the connection so that the other side gets a reset, and no end of the stream.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// head begins a response that the backend server signs. Further lines, an empty line and the body follow.
func head(id string) string {
	return "HTTP/1.1 200 OK\r\n" + idLine(id) + "Signature: s\r\n"
}

// Guards against a part of a response that is returned as a whole one: a backend server answers before it has read the request,
// and resets the connection in the middle of the body, while the request is still being written.
func TestResponseThatIsResetIsNotWhole(t *testing.T) {
	part := strings.Repeat("p", 128<<10)
	for name, response := range map[string]string{
		"without length":         "\r\n" + part,
		"without length, short":  "\r\np",
		"without length or body": "\r\n",
		"with a length":          "Content-Length: 262144\r\n\r\n" + part,
		"in chunks":              "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + part + "\r\n",
		"in chunks, none of it":  "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			forEachWay(t, func(t *testing.T, bodySize int, kept bool) {
				const plays = 10 // who learns of the reset first differs
				server := newTroubledServer(t, func(conn net.Conn, id string) {
					write(conn, head(id)+response)
					time.Sleep(time.Millisecond) // the response is under way, and the request is being written
					reset(conn)
				})
				for range plays {
					server.checkNoReply(t, bodySize, kept)
				}
			})
		})
	}
}

// Guards against a claim that a request has not run, or against a refusal by status, that is believed although the response was
// reset before its end.
func TestRefusalThatIsResetIsNotBelieved(t *testing.T) {
	const plays = 10
	for name, status := range map[string]string{"refusal": "503 Service Unavailable\r\nNot-Run: 1", "wrong start": "421 Misdirected Request"} {
		t.Run(name, func(t *testing.T) {
			server := newTroubledServer(t, func(conn net.Conn, id string) {
				write(conn, "HTTP/1.1 "+status+"\r\n"+idLine(id)+"\r\n"+strings.Repeat("f", 128<<10))
				time.Sleep(time.Millisecond)
				reset(conn)
			})
			for range plays {
				server.checkNoReply(t, longBody, false)
			}
		})
	}
}

// Guards against a whole response that is lost because the request is still being written, or because its connection is reset
// after the response has ended.
func TestWholeResponseBeforeTheRequestIsReadIsReturned(t *testing.T) {
	body := strings.Repeat("w", 128<<10)
	closeWrite := func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }
	chunked := "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + body + "\r\n0\r\n\r\n"
	for name, test := range map[string]struct {
		response, body string
		end            func(conn net.Conn)
	}{
		"without length, reading on":            {"\r\n" + body, body, closeWrite},
		"without length, reset after its end":   {"\r\n" + body, body, func(conn net.Conn) { closeWrite(conn); awaitRead(); reset(conn) }},
		"without length or body, reading on":    {"\r\n", "", closeWrite},
		"with a length, reading on":             {"Content-Length: 131072\r\n\r\n" + body, body, func(net.Conn) {}},
		"with a length, reset after its end":    {"Content-Length: 131072\r\n\r\n" + body, body, func(conn net.Conn) { awaitRead(); reset(conn) }},
		"with a length, end of stream after it": {"Content-Length: 131072\r\n\r\n" + body, body, closeWrite},
		"in chunks, reading on":                 {chunked, body, func(net.Conn) {}},
		"in chunks, reset after its end":        {chunked, body, func(conn net.Conn) { awaitRead(); reset(conn) }},
	} {
		t.Run(name, func(t *testing.T) {
			forEachWay(t, func(t *testing.T, bodySize int, kept bool) {
				server := newTroubledServer(t, func(conn net.Conn, id string) {
					write(conn, head(id)+test.response)
					test.end(conn)
				})
				is := is.New(t)
				client := newIdentifyingClient()
				defer client.SetMaxConnections(1) // closes the idle connections
				got := server.run(t, client, bodySize, kept)
				is.NoErr(got.Err)
				is.Equal(got.Reply.Outcome, call.Ran)
				is.Equal(got.Reply.Status, http.StatusOK)
				is.Equal(string(got.Reply.Body), test.body)
			})
		})
	}
}

// awaitRead gives the other side time to read the response.
func awaitRead() {
	time.Sleep(20 * time.Millisecond)
}

// Records the property that the package relies on: a write that meets a reset takes the error, and the read beside it then sees
// the end of the stream. Only the error of the write tells a stream that has ended from one that was reset.
func TestWriteTakesTheErrorOfAReset(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(conn net.Conn)
		want error
	}{
		"reset":                   {reset, syscall.ECONNRESET},
		"end of stream and reset": {func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite(); reset(conn) }, syscall.EPIPE},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
				write(conn, "part")
				_, _ = requests.ReadByte() // the other side writes
				test.end(conn)
			})
			conn, err := net.Dial("tcp", server.address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			for err == nil {
				_, err = conn.Write(make([]byte, 1<<20))
			}
			t.Log(err)
			is.True(errors.Is(err, test.want))
			got, err := io.ReadAll(conn)
			is.NoErr(err) // the end of the stream, as after a whole response
			is.Equal(string(got), "part")
		})
	}
}
