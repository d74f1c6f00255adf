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
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
)

// senderFunc answers with a function.
type senderFunc func(ctx context.Context, r *call.Request) call.Reply

func (s senderFunc) Send(ctx context.Context, r *call.Request) call.Reply {
	return s(ctx, r)
}

func newRoutedHandler(t *testing.T, send senderFunc) http.Handler {
	t.Helper()
	table, err := routes.NewTable(routes.Catalogue{
		Version: 1,
		Routes: []routes.Route{{
			Name: "deposits", Host: "deposits.example", Prefix: "/", Timeout: 100 * time.Millisecond, MaxAttempts: 2,
			Clusters: []routes.Cluster{{Service: "bookings", Weight: 1}},
		}},
		Services: []routes.Service{{Name: "bookings"}},
	})
	is.New(t).NoErr(err)
	return caller.NewRoutedHandler(caller.RoutedHandlerConfig{
		Board:    board.NewLoop(board.Board{Routes: table}),
		Sender:   send,
		Chains:   call.NewChains(),
		Headers:  caller.RoutedHeaders{RequestID: "Request-Name", Timeout: "Time-Left", CallerService: "Calling-Service"},
		Service:  "crew",
		MaxBody:  100,
		Answered: func(*call.Request, *call.Reply, time.Duration) {},
		Rejected: func(*http.Request, call.Reason, string) {},
	})
}

func postRequest(handler http.Handler, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://deposits.example/x?y=1", http.NoBody)
	r.Header = header
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w
}

// The node beside the backend server gives a queued request up at its deadline. Its answer comes a moment later, and says
// that the request has not run, so that its caller may send it again.
func TestRefusalAtTheDeadlineIsWaitedFor(t *testing.T) {
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

// The status of a refusal is a promise, and what promises nothing is told apart.
func TestStatusOfAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		reply call.Reply
		want  int
	}{
		"answer of the backend server": {call.Reply{Outcome: call.Ran, Status: 418}, 418},
		"refused for overload":         {call.Refused(call.NotRun, call.ReasonOverload, time.Second), 503},
		"never sent":                   {call.Refused(call.NotRun, call.ReasonPeerUnreachable, 0), 503},
		"lost":                         {call.Refused(call.Unknown, call.ReasonPeerUnreachable, 0), 502},
		"broken off":                   {call.Refused(call.Unknown, call.ReasonBackendFailed, 0), 502},
		"silent":                       {call.Refused(call.Unknown, call.ReasonPeerSilent, 0), 504},
		"out of time while it ran":     {call.Refused(call.Unknown, call.ReasonDeadline, 0), 504},
		"no status at all":             {call.Reply{Outcome: call.Ran}, 502},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := postRequest(newRoutedHandler(t, func(context.Context, *call.Request) call.Reply { return test.reply }), http.Header{})
			is.Equal(w.Code, test.want)
			is.Equal(w.Header().Get("Retry-After") != "", test.want == 503)
		})
	}
}

// The backend server sees the request as the caller sent it, with the service of the instance where it began, and no more
// time than the route gives.
func TestRequestIsPassedOn(t *testing.T) {
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
