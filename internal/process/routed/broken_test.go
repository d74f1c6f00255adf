package routed_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// idPlaceholder stands for the ID of the request in the response to it.
const idPlaceholder = "{id}"

// signedHead begins a response with the status that the backend server signs. Further lines and an empty line follow.
func signedHead(status string) string {
	return "HTTP/1.1 " + status + "\r\nSignature: s\r\nRequest-Name: " + idPlaceholder + "\r\n"
}

// troubledServer answers uploads before it has read them, with the response of the test as it is. Then it resets the connection or
// reads on. It counts the requests.
type troubledServer struct {
	mu       sync.Mutex
	response string
	resets   bool
	received int
}

func (s *troubledServer) set(response string, resets bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response, s.resets = response, resets
}

func (s *troubledServer) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// next counts a request and returns the response to it.
func (s *troubledServer) next(id string) (response string, resets bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	return strings.ReplaceAll(s.response, idPlaceholder, id), s.resets
}

// ServeHTTP implements http.Handler.
func (s *troubledServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, resets := s.next(r.Header.Get("Request-Name"))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, response)
	if resets {
		time.Sleep(time.Millisecond) // the response is under way, and the request is being written
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// post sends a request with a body of the given size on a connection of its own, and returns all bytes that the node responds.
func (n *testNode) post(t *testing.T, host string, size int) (*http.Response, string) {
	is := is.New(t)
	conn, err := net.Dial("tcp", n.settings.Caller.Address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	id := fmt.Sprintf("r%d", requestNumber.Add(1))
	_, err = fmt.Fprintf(conn, "POST /upload/%s HTTP/1.1\r\nHost: %s\r\nRequest-Name: %s\r\nTime-Left: 5000\r\nContent-Length: %d\r\n\r\n%s", id, host, id, size, strings.Repeat("u", size))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response, string(body)
}

// Guards against an incident: a caller got a part of a response as a whole one, or a response that is none. Backend servers in
// trouble answer uploads before they have read them. The caller must be told promptly that the request may have run, and a
// request that may run once must not be sent again.
func TestBrokenResponsesDoNotReachCallers(t *testing.T) {
	const (
		upload = 3 << 20 // bytes; more than the sockets take
		// plays is the number of uploads; more than half of them must reach a backend server. Where too few do, because their
		// nodes are too slow to take them, there are up to maxPlays.
		plays, maxPlays = 4, 20
	)
	part := strings.Repeat("p", 128<<10)
	server := &troubledServer{}
	f := newFleet(t, twoServices(1))
	f.flags = []string{"-caller.max_body", strconv.Itoa(upload)}
	crew := f.add(t, "zone_1", "crew", server.ServeHTTP)
	f.add(t, "zone_1", "bookings", server.ServeHTTP)
	f.add(t, "zone_1", "bookings", server.ServeHTTP)
	f.waitReady(t)
	for name, test := range map[string]struct {
		response string
		resets   bool
	}{
		"reset, without length":                {signedHead("200 OK") + "\r\n" + part, true},
		"status 000":                           {signedHead("000") + "Content-Length: 3\r\n\r\nbad", false},
		"status 000 without body":              {signedHead("000") + "\r\n", false},
		"status 000 with a response as a body": {signedHead("000") + "\r\n" + signedHead("200 OK") + "Content-Length: 3\r\n\r\nbad", false},
		"blank in a name":                      {signedHead("200 OK") + "X Bad: 1\r\nContent-Length: 3\r\n\r\nbad", false},
		"blank behind a name":                  {signedHead("200 OK") + "X-Bad : 1\r\nContent-Length: 3\r\n\r\nbad", false},
		"blank before a name":                  {signedHead("200 OK") + "X-Good: 1\r\n X-Bad: 1\r\nContent-Length: 3\r\n\r\nbad", false},
		"blank behind the name of the length":  {signedHead("200 OK") + "Content-Length : 3\r\n\r\nbad", false},
		"blank behind the name of the coding":  {signedHead("200 OK") + "Transfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n", false},
		"control byte in a name":               {signedHead("200 OK") + "X-\x01Bad: 1\r\nContent-Length: 3\r\n\r\nbad", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server.set(test.response, test.resets)
			failed, before := 0, server.requests()
			for n := 0; n < plays || failed <= plays/2 && n < maxPlays; n++ {
				response, body := crew.post(t, "deposits.example", upload)
				is.Equal(response.Header.Get("Signature"), "")
				is.True(!strings.Contains(body, "bad") && !strings.Contains(body, part[:10]))
				if response.StatusCode == http.StatusServiceUnavailable { // the node has seen connections break
					is.Equal(response.Header.Get("Comfreyhoist-Outcome"), "not_run")
				} else {
					failed++
					is.Equal(response.StatusCode, http.StatusBadGateway)
					is.Equal(response.Header.Get("Comfreyhoist-Outcome"), "unknown")
					is.Equal(response.Header.Get("Comfreyhoist-Reason"), "backend_failed") // at once, not at the deadline
				}
				is.Equal(server.requests()-before, failed) // each reached one backend server once, or none
				time.Sleep(300 * time.Millisecond)         // the node finds out that its backend server accepts connections
			}
			is.True(failed > plays/2)
			response, _ := crew.post(t, "sheets.example", upload)
			is.True(response.StatusCode >= http.StatusInternalServerError)
			is.Equal(response.Header.Get("Signature"), "")
		})
	}
}
