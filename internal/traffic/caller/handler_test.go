package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
)

// fixedSender is a caller.Sender that returns the same reply to every request and records the last request.
type fixedSender struct {
	reply call.Reply
	sent  *call.Request
}

func (s *fixedSender) Send(_ context.Context, r *call.Request) call.Reply {
	s.sent = r
	return s.reply
}

func serveRequest(t *testing.T, s *fixedSender, r *http.Request) *httptest.ResponseRecorder {
	t.Helper()
	d, err := document.Parse([]byte("[service]\nname = access\nteam = a\n[kind any]\npath = /*\nrank = 1\nidempotent = true\n"))
	is.New(t).NoErr(err)
	loop := board.NewLoop(board.Board{Documents: board.Documents{
		ByService: map[string]board.DocumentInForce{"access": {Revision: 1, Document: d}},
	}})
	router := httprouter.New()
	caller.Register(router, caller.Config{Board: loop, Sender: s, RunningRequests: call.NewRunningRequests(), MaxBody: 1 << 10})
	w := httptest.NewRecorder()
	router.ServeHTTP(w, r)
	return w
}

func TestResponseStatusAndHeaders(t *testing.T) {
	for name, c := range map[string]struct {
		reply      call.Reply
		status     int
		outcome    string
		reason     string
		retryAfter string
		exact      string
	}{
		"ran": {
			reply:  call.Reply{Outcome: call.Ran, Status: 201, Header: http.Header{"Comfreyhoist-Reason": {"forged"}}},
			status: 201, outcome: "ran",
		},
		"backend server's own 503": {
			reply:  call.Reply{Outcome: call.Ran, Status: 503},
			status: 503, outcome: "ran",
		},
		"overload with a retry time": {
			reply:  call.Refused(call.NotRun, call.ReasonOverload, 1200*time.Millisecond),
			status: 503, outcome: "not_run", reason: "overload", retryAfter: "2", exact: "1200",
		},
		"draining without a retry time": {
			reply:  call.Refused(call.NotAdmitted, call.ReasonDraining, 0),
			status: 503, outcome: "not_admitted", reason: "draining", retryAfter: "1", exact: "1000",
		},
		"header with an invalid value": {
			reply:  call.Reply{Outcome: call.Ran, Status: 200, Header: http.Header{"Date": {"Fri, 04 Dec \x12026"}}},
			status: 502, outcome: "unknown", reason: "corrupt", retryAfter: "1", exact: "1000",
		},
		"reply without a status": {
			reply:  call.Reply{Outcome: call.Ran},
			status: 502, outcome: "unknown", reason: "corrupt", retryAfter: "1", exact: "1000",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := serveRequest(t, &fixedSender{reply: c.reply}, httptest.NewRequest(http.MethodGet, "/call/access/x", http.NoBody))
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Comfreyhoist-Outcome"), c.outcome)
			is.Equal(w.Header().Get("Comfreyhoist-Reason"), c.reason)
			is.Equal(w.Header().Get("Retry-After"), c.retryAfter)
			is.Equal(w.Header().Get("Comfreyhoist-Retry-After-Ms"), c.exact)
		})
	}
}

func TestForwardedRequest(t *testing.T) {
	is := is.New(t)
	s := &fixedSender{reply: call.Reply{Outcome: call.Ran, Status: 200}}
	r := httptest.NewRequest(http.MethodGet, "/call/access/a%2Fb%20c/d?q=%26", http.NoBody)
	r.Header.Set("Comfreyhoist-Caller", "crew")
	r.Header.Set("Comfreyhoist-Rank", "0")
	r.Header.Set("Accept", "text/plain")
	serveRequest(t, s, r)
	is.Equal(s.sent.Path, "/a%2Fb%20c/d?q=%26") // escaped as received
	is.Equal(s.sent.Root.Caller, "crew")
	is.Equal(s.sent.Root.Rank, 1) // from the document, not from the caller
	is.Equal(s.sent.Header, http.Header{"Accept": {"text/plain"}})
}

func TestResends(t *testing.T) {
	for name, c := range map[string]struct {
		header []string
		status int
		want   int
	}{
		"none":     {nil, 200, 0},
		"third":    {[]string{"2"}, 200, 2},
		"negative": {[]string{"-1"}, 400, 0},
		"empty":    {[]string{""}, 400, 0},
		"huge":     {[]string{"99999999999"}, 400, 0},
		"twice":    {[]string{"1", "2"}, 400, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fixedSender{reply: call.Reply{Outcome: call.Ran, Status: 200}}
			r := httptest.NewRequest(http.MethodGet, "/call/access/x", http.NoBody)
			r.Header[caller.ResendHeader] = c.header
			w := serveRequest(t, s, r)
			is.Equal(w.Code, c.status)
			if c.status == 200 {
				is.Equal(s.sent.Resends, c.want)
				return
			}
			is.True(s.sent == nil)
			is.True(strings.Contains(w.Body.String(), caller.ResendHeader)) // the text names the header
		})
	}
}
