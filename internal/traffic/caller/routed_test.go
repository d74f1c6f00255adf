package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/drain"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
)

// senderFunc is a caller.Sender that calls a function.
type senderFunc func(ctx context.Context, r *call.Request) call.Reply

func (s senderFunc) Send(ctx context.Context, r *call.Request) call.Reply {
	return s(ctx, r)
}

func newRoutedHandler(t *testing.T, send senderFunc) http.Handler {
	t.Helper()
	table, err := routes.NewTable(routes.Configuration{
		Version: 1,
		Routes: []routes.Route{{
			Name: "deposits", Host: "deposits.example", Prefix: "/", Timeout: 100 * time.Millisecond, MaxAttempts: 2,
			Clusters: []routes.Cluster{{Service: "bookings", Weight: 1}},
		}},
		Services: []routes.Service{{Name: "bookings"}},
	})
	is.New(t).NoErr(err)
	return caller.NewRoutedHandler(caller.RoutedHandlerConfig{
		Board:           board.NewLoop(board.Board{Routes: table}),
		Sender:          send,
		RunningRequests: call.NewRunningRequests(),
		Headers:         caller.RoutedHeaders{RequestID: "Request-Name", Timeout: "Time-Left", CallerService: "Calling-Service"},
		Service:         "crew",
		MaxBody:         100,
		Drain:           func() drain.State { return drain.State{} },
		TakenLate:       func(*call.Request, *call.RunningRequest, drain.Request) {},
		Answered:        func(*call.Request, *call.Reply, time.Duration) {},
		Rejected:        func(*http.Request, call.Reason, string) {},
	})
}

func postRequest(handler http.Handler, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://deposits.example/x?y=1", http.NoBody)
	r.Header = header
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

// The node beside the backend server gives up a queued request at its deadline. Its reply arrives shortly after that and
// reports that the request has not run. The sending node must wait for it, so that the caller may retry.
func TestHandlerWaitsForRefusalAtDeadline(t *testing.T) {
	is := is.New(t)
	w := postRequest(newRoutedHandler(t, func(ctx context.Context, r *call.Request) call.Reply {
		select {
		case <-ctx.Done():
			return call.Refused(call.Unknown, call.ReasonPeerSilent, 0)
		case <-time.After(time.Until(r.Deadline) + 10*time.Millisecond):
			return call.Refused(call.NotRun, call.ReasonDeadline, 0)
		}
	}), http.Header{})
	is.Equal(w.Code, http.StatusServiceUnavailable)
}

// Guards against telling callers "not run, try again" for a request that ran: callers retry after a 408, 421, 429 or 503,
// so a request that may have run must get another status, also if the backend server itself responded with one of these.
func TestStatusOfReplies(t *testing.T) {
	for name, test := range map[string]struct {
		reply call.Reply
		want  int
	}{
		"response of the backend server": {call.Reply{Outcome: call.Ran, Status: 418}, 418},
		"refused for overload":           {call.Refused(call.NotRun, call.ReasonOverload, time.Second), 503},
		"never sent":                     {call.Refused(call.NotRun, call.ReasonPeerUnreachable, 0), 503},
		"lost":                           {call.Refused(call.Unknown, call.ReasonPeerUnreachable, 0), 502},
		"backend server failed":          {call.Refused(call.Unknown, call.ReasonBackendFailed, 0), 502},
		"silent":                         {call.Refused(call.Unknown, call.ReasonPeerSilent, 0), 504},
		"deadline while it ran":          {call.Refused(call.Unknown, call.ReasonDeadline, 0), 504},
		"no status":                      {call.Reply{Outcome: call.Ran}, 502},
		"ran, and failed with 503":       {call.Reply{Outcome: call.Ran, Status: 503}, 502},
		"ran, and failed with 429":       {call.Reply{Outcome: call.Ran, Status: 429}, 502},
		"ran, and failed with 421":       {call.Reply{Outcome: call.Ran, Status: 421}, 502},
		"ran, and failed with 408":       {call.Reply{Outcome: call.Ran, Status: 408}, 502},
		"ran, and failed with 500":       {call.Reply{Outcome: call.Ran, Status: 500}, 500},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := postRequest(newRoutedHandler(t, func(context.Context, *call.Request) call.Reply { return test.reply }), http.Header{})
			is.Equal(w.Code, test.want)
			is.Equal(w.Header().Get("Retry-After") != "", test.want == 503)
		})
	}
}

// The request is forwarded as the caller sent it, with the service of the sending instance and with a deadline within the
// timeout of the route.
func TestRequestIsForwarded(t *testing.T) {
	is := is.New(t)
	var got *call.Request
	begin := time.Now()
	_ = postRequest(newRoutedHandler(t, func(_ context.Context, r *call.Request) call.Reply {
		got = r
		return call.Reply{Outcome: call.Ran, Status: 200}
	}), http.Header{"Calling-Service": {"forged"}, "Request-Name": {"r1"}, "Time-Left": {"5000"}, "Other": {"kept"}, "Te": {"dropped"}})
	is.Equal(got.Path, "/x?y=1")
	is.Equal(got.Root.ID, "r1")
	is.Equal(got.Header.Get("Calling-Service"), "crew")
	is.Equal(got.Header.Get("Host"), "deposits.example")
	is.Equal(got.Header.Get("Other"), "kept")
	is.Equal(got.Header.Get("Te"), "")
	is.True(got.Deadline.Sub(begin) <= 110*time.Millisecond)
	is.Equal(got.AttemptsLeft, 1)
}
