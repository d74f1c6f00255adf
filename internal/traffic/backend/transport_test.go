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
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// scriptedServer is a backend server that does as its script says, and counts its connections.
type scriptedServer struct {
	address     string
	connections atomic.Int32
}

// newScriptedServer runs the script for each connection, which closes after it.
func newScriptedServer(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &scriptedServer{address: l.Addr().String()}
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

// nextID reads a request with its body and returns its id, or "" where there is none.
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
	return backend.NewClient(backend.ClientConfig{MaxBody: 1 << 20, Headers: backend.Headers{RequestID: "Request-Name"}}, call.NewChains())
}

func newRequestWithID(id string) *call.Request {
	r := newRequest(http.MethodPost, "a wash", "")
	r.Header = http.Header{"Request-Name": {id}}
	return r
}

// Pattern: backend servers that answer twice, close connections without a word, or begin their answers with others. A request gets its
// own answer, on a new connection where the kept one isn't to be trusted.
func TestConnectionsOfOddBackendServers(t *testing.T) {
	for name, test := range map[string]struct {
		script      func(conn net.Conn, requests *bufio.Reader)
		connections int32
	}{
		"kept": {func(conn net.Conn, requests *bufio.Reader) {
			for id := nextID(requests); id != ""; id = nextID(requests) {
				respond(conn, id, "")
			}
		}, 1},
		"a second answer comes with the next one": {func(conn net.Conn, requests *bufio.Reader) {
			last := ""
			for id := nextID(requests); id != ""; id = nextID(requests) {
				if last != "" {
					respond(conn, last, "")
				}
				respond(conn, id, "")
				last = id
			}
		}, 1},
		"a second answer comes at once": {func(conn net.Conn, requests *bufio.Reader) {
			for id := nextID(requests); id != ""; id = nextID(requests) {
				respond(conn, id, "")
				respond(conn, id, "")
			}
		}, 2},
		"closed after each answer": {func(conn net.Conn, requests *bufio.Reader) {
			respond(conn, nextID(requests), "")
		}, 2},
		"kept for no time": {func(conn net.Conn, requests *bufio.Reader) {
			for id := nextID(requests); id != ""; id = nextID(requests) {
				respond(conn, id, "Keep-Alive: timeout=0\r\n")
			}
		}, 2},
		"an interim answer first": {func(conn net.Conn, requests *bufio.Reader) {
			for id := nextID(requests); id != ""; id = nextID(requests) {
				_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
				respond(conn, id, "")
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, client := newScriptedServer(t, test.script), newClientWithRequestIDs()
			defer client.SetMaxConnections(1) // closes what is kept
			for _, id := range []string{"first", "second"} {
				result := client.Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID(id))
				is.Equal(result.Reply.Outcome, call.Ran)
				is.Equal(string(result.Reply.Body), id)
				time.Sleep(20 * time.Millisecond) // for what comes late, or closes
			}
			is.Equal(server.connections.Load(), test.connections)
		})
	}
}

// An answer to somebody else's request on a new connection is nobody's.
func TestAnswerOfAnotherRequest(t *testing.T) {
	is := is.New(t)
	server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		_ = nextID(requests)
		respond(conn, "another", "")
	})
	result := newClientWithRequestIDs().Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID("own"))
	is.Equal(result.Reply.Outcome, call.Unknown)
	is.Equal(result.Reply.Reason, call.ReasonBackendFailed)
}

// A backend server that answers before it has read a long body gets nothing else on the connection.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
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
	is.Equal(bodies, map[string]bool{"": true, "a wash": true}) // what is left of the long one is its own
	is.Equal(server.connections.Load(), int32(2))
}

func TestHeadersOfOneConnectionStay(t *testing.T) {
	is := is.New(t)
	got := backend.EndToEnd(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Accept": {"*/*"}, "X-Name": {"a", "b"},
	})
	is.Equal(got, http.Header{"Accept": {"*/*"}, "X-Name": {"a", "b"}})
}
