package backend_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// identifyingHeaders are the headers of a backend server that repeats the ID of a request, signs its responses and says
// whether it ran a request.
var identifyingHeaders = backend.Headers{RequestID: "Request-Name", Signature: "Signature", NotRun: "Not-Run"}

func newIdentifyingClient() *backend.Client {
	return backend.NewClient(backend.ClientConfig{MaxBody: 1 << 20, Headers: identifyingHeaders}, call.NewRunningRequests())
}

// refusal returns a response that says that the request was not run. Without an ID it doesn't say which request.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + idLine(id) + "Not-Run: 1\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nfull"
}

// result returns the response of a backend server that ran the request.
func result(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sSignature: s\r\nContent-Length: %d\r\n\r\n%s", idLine(id), len(id), id)
}

func idLine(id string) string {
	if id == "" {
		return ""
	}
	return "Request-Name: " + id + "\r\n"
}

func write(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text)
}

// Guards against telling a caller that a request was not run while the backend server runs it: a faulty backend server
// writes an earlier refusal, whole or in part, with or without its ID, before its response on the same connection.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for name, test := range map[string]struct {
		second string
		copied string
		want   call.Outcome
	}{
		"with the ID of the earlier request":     {"b", refusal("a"), call.Ran},
		"without an ID":                          {"b", refusal(""), call.Ran},
		"of an earlier sending of the request":   {"a", refusal("a"), call.Ran},
		"cut in a header line, without an ID":    {"b", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: ", call.Unknown},
		"cut in the name of a header":            {"b", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-", call.Unknown},
		"cut in the status line":                 {"b", "HTTP/1.1 421 Misd", call.Unknown},
		"cut in the ID":                          {"b", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Name: ", call.Unknown},
		"cut in the body":                        {"b", strings.TrimSuffix(refusal("a"), "ull"), call.Unknown},
		"cut in the body, without an ID":         {"b", strings.TrimSuffix(refusal(""), "ull"), call.Unknown},
		"twice":                                  {"b", refusal("a") + refusal("a"), call.Ran},
		"more often than responses are skipped":  {"b", strings.Repeat(refusal("a"), 5), call.Unknown},
		"as a refusal of the wrong start, no ID": {"b", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", call.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			refused := false
			server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
				for id, first := nextID(requests), true; id != ""; id, first = nextID(requests), false {
					mu.Lock()
					refuse := !refused
					refused = true
					mu.Unlock()
					switch {
					case refuse:
						write(conn, refusal(id))
					case first:
						write(conn, result(id)) // a new connection, which carried no refusal
					default:
						write(conn, test.copied)
						time.Sleep(5 * time.Millisecond) // the request runs
						write(conn, result(id))
					}
				}
			})
			client := newIdentifyingClient()
			defer client.SetMaxConnections(1) // closes the idle connections
			is.Equal(client.Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID("a")).Reply.Outcome, call.NotRun)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			reply := client.Run(ctx, backend.Target{Address: server.address}, newRequestWithID(test.second)).Reply
			is.Equal(reply.Outcome, test.want)
			if reply.Outcome == call.Ran {
				is.Equal(string(reply.Body), test.second)
			}
		})
	}
}

// Guards against giving a caller the response to another request: a backend server that has no request IDs writes a
// response once more while the next request runs. It repeats the header of the call chain, which is different for each
// sending, in all responses or in none. In none, only a copy that arrives before the next request is noticed.
func TestSecondResponseOnTheProductsOwnInterface(t *testing.T) {
	for name, test := range map[string]struct {
		repeats bool
		copied  func(response string) string
		want    string
	}{
		"copy":                            {true, func(r string) string { return r }, "second"},
		"copy without the header":         {true, func(r string) string { return strings.Replace(r, backend.ChainHeader, "Other", 1) }, "second"},
		"no copy, header is not repeated": {false, func(string) string { return "" }, "second"},
		"no copy, header is repeated":     {true, func(string) string { return "" }, "second"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
				earlier := ""
				for r, err := http.ReadRequest(requests); err == nil; r, err = http.ReadRequest(requests) {
					_, _ = io.Copy(io.Discard, r.Body)
					token := ""
					if test.repeats {
						token = backend.ChainHeader + ": " + r.Header.Get(backend.ChainHeader) + "\r\n"
					}
					body := r.Header.Get("Request-Name")
					if earlier != "" {
						write(conn, test.copied(earlier))
					}
					earlier = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", token, len(body), body)
					write(conn, earlier)
				}
			})
			client := newClient()
			defer client.SetMaxConnections(1) // closes the idle connections
			_ = client.Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID("first"))
			got := client.Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID("second"))
			is.Equal(string(got.Reply.Body), test.want)
			is.Equal(server.connections.Load(), int32(1))
		})
	}
}

// Guards against a contradiction: a successful response doesn't say "not run", whatever its header says.
func TestSuccessDoesNotSayNotRun(t *testing.T) {
	is := is.New(t)
	server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		write(conn, strings.Replace(result(nextID(requests)), "Signature", "Not-Run: 1\r\nSignature", 1))
	})
	is.Equal(newIdentifyingClient().Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID("a")).Reply.Outcome, call.Unknown)
}

// Guards against taking a response for a success whose head was cut: the backend server closes the connection after each
// possible number of bytes.
func TestResponseThatIsCutIsNoSuccess(t *testing.T) {
	is := is.New(t)
	whole := result("a")
	lengths := make(chan int, 1)
	server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		_ = nextID(requests)
		write(conn, whole[:<-lengths])
	})
	for length := range whole {
		lengths <- length
		reply := newIdentifyingClient().Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID("a")).Reply
		is.Equal(reply.Outcome, call.Unknown) // whole[:length]
	}
}

// faultyServer answers each request at random, and writes copies of its earlier responses on a connection in between:
// whole or cut, with or without their ID, before, after or while it answers.
type faultyServer struct {
	mu     sync.Mutex
	random *rand.Rand
	// ran tells of each sending of a request whether it ran.
	ran map[string][]bool
}

func (s *faultyServer) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < p
}

func (s *faultyServer) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// copyOf returns an earlier response as the server writes it once more.
func (s *faultyServer) copyOf(sent []string) string {
	if len(sent) == 0 {
		return ""
	}
	text := sent[s.intN(len(sent))]
	if start := strings.Index(text, "Request-Name"); s.chance(0.5) {
		text = text[:start] + text[start+strings.Index(text[start:], "\n")+1:]
	}
	if s.chance(0.3) {
		text = text[:s.intN(len(text))]
	}
	return text
}

// answer decides whether the request runs and returns the response.
func (s *faultyServer) answer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := s.random.IntN(5)
	s.ran[id] = append(s.ran[id], kind > 1)
	switch kind {
	case 0:
		return refusal(id)
	case 1:
		return "HTTP/1.1 421 Misdirected Request\r\n" + idLine(id) + "Content-Length: 0\r\n\r\n"
	case 2:
		return strings.Replace(result(id), "200 OK", "500 Internal Server Error", 1)
	}
	return result(id)
}

func (s *faultyServer) serve(conn net.Conn, requests *bufio.Reader) {
	var sent []string
	for id := nextID(requests); id != ""; id = nextID(requests) {
		own := s.answer(id)
		if s.chance(0.4) {
			write(conn, s.copyOf(sent))
			time.Sleep(time.Duration(s.intN(1500)) * time.Microsecond)
		}
		if s.chance(0.1) {
			write(conn, own[:s.intN(len(own))])
			return
		}
		write(conn, own)
		if s.chance(0.4) {
			time.Sleep(time.Duration(s.intN(1500)) * time.Microsecond)
			write(conn, s.copyOf(sent))
		}
		sent = append(sent, own)
	}
}

func (s *faultyServer) ranLast(id string) (ran, received bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sendings := s.ran[id]
	if len(sendings) == 0 {
		return false, false
	}
	return sendings[len(sendings)-1], true
}

// Guards against every order of copied, late and cut responses of a faulty backend server. Whatever it writes, "not run"
// is true, a success is the whole response to the caller's own request, and a failure with a signature is its own too.
// Requests that were refused are sent again with the same ID.
func TestRepliesAreTrueWhateverAFaultyServerWrites(t *testing.T) {
	const (
		seeds, requests, sendings = 60, 12, 3
		// requestTimeout bounds the wait for the rest of a copy that was cut in its body.
		requestTimeout = 20 * time.Millisecond
	)
	for seed := range uint64(seeds) {
		is := is.New(t)
		s := &faultyServer{random: rand.New(rand.NewPCG(seed, 0)), ran: map[string][]bool{}}
		server := newScriptedServer(t, s.serve)
		client := newIdentifyingClient()
		client.SetMaxConnections(1 + int(seed%3))
		for n := range requests {
			id := fmt.Sprintf("request-%d", n)
			for range sendings {
				ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
				reply := client.Run(ctx, backend.Target{Address: server.address}, newRequestWithID(id)).Reply
				cancel()
				ran, received := s.ranLast(id)
				if reply.Outcome == call.Ran {
					is.True(received && ran)                           // a response to another request was returned
					is.True(bytes.Equal(reply.Body, []byte(id)))       // the body is another's
					is.Equal(reply.Header.Get("Request-Name"), id)     // the header is another's
					is.Equal(len(reply.Header.Values("Signature")), 1) // two responses were taken for one
				}
				if reply.Outcome != call.NotRun {
					break
				}
				is.True(!ran) // "not run" is false
			}
		}
		client.SetMaxConnections(9) // closes the idle connections
	}
}
