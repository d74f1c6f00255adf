package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// scriptedServer is a backend server that runs a script on each connection and counts its connections.
type scriptedServer struct {
	address     string
	connections atomic.Int32
}

// newScriptedServer starts a server that runs the script on each connection and closes the connection after it.
func newScriptedServer(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) *scriptedServer {
	s := &scriptedServer{}
	s.address = harness.NewRawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		s.connections.Add(1)
		script(conn, requests)
	}).Address
	return s
}

// nextID reads a request with its body and returns the request ID, or "" if there is no request.
func nextID(requests *bufio.Reader) string {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.Header.Get("Request-Name")
}

func respond(conn net.Conn, id, extraHeaders string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Name: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extraHeaders, len(id), id)
}

func newClientWithRequestIDs() *backend.Client {
	return backend.NewClient(backend.ClientConfig{MaxBody: 1 << 20, Headers: backend.Headers{RequestID: "Request-Name"}}, call.NewRunningRequests())
}

func newRequestWithID(id string) *call.Request {
	r := newRequest(http.MethodPost, "a wash", "")
	r.Header = http.Header{"Request-Name": {id}}
	return r
}

// TestReuseAfterUnusualResponses guards against returning the response to another request. Its backend servers respond
// twice, close connections without notice, or send an informational response first. Each request must get its own
// response, on a new connection if the persistent one can't be reused.
func TestReuseAfterUnusualResponses(t *testing.T) {
	for name, test := range map[string]struct {
		script      func(conn net.Conn, requests *bufio.Reader)
		connections int32
	}{
		"kept": {func(conn net.Conn, requests *bufio.Reader) {
			for id := nextID(requests); id != ""; id = nextID(requests) {
				respond(conn, id, "")
			}
		}, 1},
		"second response arrives before the next one": {func(conn net.Conn, requests *bufio.Reader) {
			last := ""
			for id := nextID(requests); id != ""; id = nextID(requests) {
				if last != "" {
					respond(conn, last, "")
				}
				respond(conn, id, "")
				last = id
			}
		}, 1},
		"second response arrives immediately": {func(conn net.Conn, requests *bufio.Reader) {
			for id := nextID(requests); id != ""; id = nextID(requests) {
				respond(conn, id, "")
				respond(conn, id, "")
			}
		}, 2},
		"closed after each response": {func(conn net.Conn, requests *bufio.Reader) {
			respond(conn, nextID(requests), "")
		}, 2},
		"keep-alive timeout of 0": {func(conn net.Conn, requests *bufio.Reader) {
			for id := nextID(requests); id != ""; id = nextID(requests) {
				respond(conn, id, "Keep-Alive: timeout=0\r\n")
			}
		}, 2},
		"informational response first": {func(conn net.Conn, requests *bufio.Reader) {
			for id := nextID(requests); id != ""; id = nextID(requests) {
				_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
				respond(conn, id, "")
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, client := newScriptedServer(t, test.script), newClientWithRequestIDs()
			defer client.SetMaxConnections(1) // closes the idle connections
			for _, id := range []string{"first", "second"} {
				result := client.Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID(id))
				is.Equal(result.Reply.Outcome, call.Ran)
				is.Equal(string(result.Reply.Body), id)
				time.Sleep(20 * time.Millisecond) // lets a second response or the close arrive
			}
			is.Equal(server.connections.Load(), test.connections)
		})
	}
}

// TestResponseToOtherRequest checks that a response with the ID of another request on a new connection fails the request.
func TestResponseToOtherRequest(t *testing.T) {
	is := is.New(t)
	server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		_ = nextID(requests)
		respond(conn, "another", "")
	})
	result := newClientWithRequestIDs().Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID("own"))
	is.Equal(result.Reply.Outcome, call.Unknown)
	is.Equal(result.Reply.Reason, call.ReasonBackendFailed)
}

// TestResponseBeforeBodyIsRead guards against reusing a connection on which a long request body is still being written
// because the backend server responded before it had read the body.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	is := is.New(t)
	rest := make(chan string, 2)
	server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		respond(conn, r.Header.Get("Request-Name"), "")
		time.Sleep(50 * time.Millisecond)
		body, _ := io.ReadAll(r.Body)
		rest <- strings.Trim(string(body), "w")
	})
	client := newClientWithRequestIDs()
	long := newRequestWithID("long")
	long.Body = []byte(strings.Repeat("w", 32<<20))
	is.Equal(string(client.Run(t.Context(), backend.Target{Address: server.address}, long).Reply.Body), "long")
	is.Equal(string(client.Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID("next")).Reply.Body), "next")
	bodies := map[string]bool{<-rest: true, <-rest: true}
	is.Equal(bodies, map[string]bool{"": true, "a wash": true}) // no other request was sent within the rest of the long body
	is.Equal(server.connections.Load(), int32(2))
}

// TestEndToEndRemovesHopByHopHeaders checks that hop-by-hop headers, including those that Connection names, are removed.
func TestEndToEndRemovesHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	got := backend.EndToEnd(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Accept": {"*/*"}, "X-Name": {"a", "b"},
	})
	is.Equal(got, http.Header{"Accept": {"*/*"}, "X-Name": {"a", "b"}})
}
