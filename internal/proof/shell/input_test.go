package shell_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// logLimitInterval is longer than the interval to which a node limits the events of one number that clients can cause.
const logLimitInterval = 1100 * time.Millisecond

// Invalid requests of callers must be refused with the right reason, be logged, reach no backend server and leave the node running.
// Slow or incomplete requests must be ended by timeouts, or they would hold connections for good.
func TestBadInputOfCallers(t *testing.T) {
	t.Parallel()
	l := &logs{}
	f := harness.StartWithoutDrain(t, fleet.Config{
		Deployment: deployment(1),
		Output:     l,
		ExtraFlags: []string{"-caller.max_body", "1024", "-caller.header_timeout", "500ms", "-caller.body_timeout", "1s"},
	})
	pid := f.Nodes[0].PID()
	for name, c := range map[string]struct {
		path   string
		header http.Header
		body   string
		status int
		reason string
		names  string
	}{
		"unknown service":          {"/call/unknown/x", nil, "", http.StatusNotFound, "unknown_service", "unknown"},
		"unknown kind":             {"/call/bookings/nothing", nil, "", http.StatusNotFound, "unknown_kind", "/nothing"},
		"dot segments":             {"/call/bookings/bookings/%2e%2e/x", nil, "", http.StatusBadRequest, "bad_request", "path"},
		"escaped service":          {"/call/book%69ngs/bookings", nil, "", http.StatusBadRequest, "bad_request", "path"},
		"oversized body":           {"/call/bookings/bookings", nil, strings.Repeat("x", 1025), http.StatusRequestEntityTooLarge, "body_too_large", "1024"},
		"deadline is not a number": {"/call/bookings/bookings", http.Header{"Comfreyhoist-Deadline-Ms": {"soon"}}, "", http.StatusBadRequest, "bad_request", "Comfreyhoist-Deadline-Ms"},
		"deadline is negative":     {"/call/bookings/bookings", http.Header{"Comfreyhoist-Deadline-Ms": {"-1"}}, "", http.StatusBadRequest, "bad_request", "Comfreyhoist-Deadline-Ms"},
		"deadline is given twice":  {"/call/bookings/bookings", http.Header{"Comfreyhoist-Deadline-Ms": {"1", "2"}}, "", http.StatusBadRequest, "bad_request", "Comfreyhoist-Deadline-Ms"},
		"key is given twice":       {"/call/bookings/bookings", http.Header{"Idempotency-Key": {"a", "b"}}, "", http.StatusBadRequest, "bad_key", "Idempotency-Key"},
		"key is empty":             {"/call/bookings/bookings", http.Header{"Idempotency-Key": {""}}, "", http.StatusBadRequest, "bad_key", "Idempotency-Key"},
		"caller name is too long":  {"/call/bookings/bookings", http.Header{"Comfreyhoist-Caller": {strings.Repeat("x", 129)}}, "", http.StatusBadRequest, "bad_request", "Comfreyhoist-Caller"},
		"caller name has spaces":   {"/call/bookings/bookings", http.Header{"Comfreyhoist-Caller": {"a b"}}, "", http.StatusBadRequest, "bad_request", "Comfreyhoist-Caller"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.Nodes[0].Caller+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			for key, values := range c.header {
				request.Header[key] = values
			}
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			text, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Comfreyhoist-Reason"), c.reason)
			is.True(strings.Contains(string(text), c.names)) // the text names the field
			want := "not_run"
			if request.Header.Get("Idempotency-Key") != "" {
				want = "not_admitted" // an earlier attempt under the key may have run
			}
			is.Equal(response.Header.Get("Comfreyhoist-Outcome"), want)
		})
	}
	l.waitFor(t, `"event":1204`, `"reason":"`)
	t.Run("slow head", func(t *testing.T) {
		time.Sleep(logLimitInterval)
		readUntilClosed(t, f.Nodes[0].Caller, "POST /call/bookings/bookings HTTP/1.1\r\nHost: a\r\nX-Slow: ")
		l.waitFor(t, `"event":1204`, "ended before a whole request head")
	})
	t.Run("slow body", func(t *testing.T) {
		time.Sleep(logLimitInterval)
		answer := readUntilClosed(t, f.Nodes[0].Caller, "POST /call/bookings/bookings HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab")
		is.New(t).True(strings.HasPrefix(answer, "HTTP/1.1 400 "))
		l.waitFor(t, `"event":1204`, "body could not be read")
	})
	t.Run("not HTTP", func(t *testing.T) {
		answer := readUntilClosed(t, f.Nodes[0].Caller, "\x00\x01\x02 rubbish\r\n\r\n")
		is.New(t).True(strings.HasPrefix(answer, "HTTP/1.1 400 "))
	})
	for _, n := range f.Nodes {
		for _, r := range n.Server.Ledger().Runs() {
			t.Errorf("an invalid request ran: %+v", r)
		}
	}
	checkStillServes(t, f, pid)
}

// Bytes that don't follow the peer protocol must end their connection and be logged, and must not end the node.
func TestGarbageOnPeerAddress(t *testing.T) {
	t.Parallel()
	l := &logs{}
	f := harness.StartWithoutDrain(t, fleet.Config{
		Deployment: deployment(1),
		Output:     l,
		ExtraFlags: []string{"-peer.idle_timeout", "1s", "-log.level", "debug"},
	})
	entry := f.Nodes[0]
	pid := entry.PID()
	for name, bytes := range map[string]string{
		"HTTP":        "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"zeros":       strings.Repeat("\x00", 1<<16),
		"ones":        strings.Repeat("\xff", 1<<16),
		"huge length": "\x05\x01\x01\xff\xff\xff\xff\x0f" + strings.Repeat("x", 1<<16),
	} {
		t.Run(name, func(t *testing.T) {
			readUntilClosed(t, entry.Peer, bytes)
		})
	}
	l.waitFor(t, `"event":1203`)
	l.waitFor(t, `"event":1206`)
	checkStillServes(t, f, pid)
}

// readUntilClosed sends the bytes on a new connection, leaves it open and returns what the other side sends until it closes it.
func readUntilClosed(t *testing.T, address, bytes string) string {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	// The other side may close the connection before it has read everything.
	_, _ = conn.Write([]byte(bytes))
	is.NoErr(conn.SetReadDeadline(time.Now().Add(30 * time.Second)))
	answer, err := io.ReadAll(conn)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		t.Fatalf("the node kept the connection open")
	}
	return string(answer)
}

// checkStillServes checks that the process is the same as before and serves a valid request.
func checkStillServes(t *testing.T, f *fleet.Fleet, pid int) {
	t.Helper()
	is := is.New(t)
	response, err := http.Post("http://"+f.Nodes[0].Caller+"/call/bookings/bookings", "text/plain", strings.NewReader("a ballroom"))
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(string(text), "a ballroom")
	is.Equal(f.Nodes[0].PID(), pid)
}
