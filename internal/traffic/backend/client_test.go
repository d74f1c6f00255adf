package backend_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func newRequest(method, body, key string) *call.Request {
	return &call.Request{Method: method, Path: "/x", Body: []byte(body), Key: key, Deadline: time.Now().Add(time.Minute)}
}

func newClient() *backend.Client {
	return backend.NewClient(backend.ClientConfig{MaxBody: 1 << 10}, call.NewRunningRequests())
}

// TestBrokenConnectionSendsOnce guards against sending a request twice when a persistent connection breaks during the
// request.
func TestBrokenConnectionSendsOnce(t *testing.T) {
	tests := map[string]struct{ method, body, key string }{
		"keyed post with body":    {http.MethodPost, "booking", "key-1"},
		"keyed post without body": {http.MethodPost, "", "key-1"},
		"get":                     {http.MethodGet, "", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var received atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Break") == "" {
					return
				}
				received.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			client, address := newClient(), strings.TrimPrefix(server.URL, "http://")
			first := client.Run(t.Context(), backend.Target{Address: address}, newRequest(http.MethodGet, "", ""))
			is.Equal(first.Reply.Outcome, call.Ran)
			r := newRequest(test.method, test.body, test.key)
			r.Header = http.Header{"Break": {"1"}}
			second := client.Run(t.Context(), backend.Target{Address: address}, r)
			is.Equal(second.Reply.Outcome, call.Unknown)
			is.True(second.ConnectionBroken)
			is.Equal(received.Load(), int32(1)) // the backend server must get the request once
		})
	}
}

// TestTooLargeResponseIsNoCrash guards against treating a response that exceeds the size limit as a crash of the
// backend server, which could quarantine its request.
func TestTooLargeResponseIsNoCrash(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 2<<10))
	}))
	defer server.Close()
	result := newClient().Run(t.Context(), backend.Target{Address: strings.TrimPrefix(server.URL, "http://")}, newRequest(http.MethodGet, "", ""))
	is.Equal(result.Reply.Reason, call.ReasonResponseTooLarge)
	is.Equal(result.Reply.Outcome, call.Unknown) // the request ran, but its response is lost
	is.True(!result.ConnectionBroken)
}

// TestCancellationReachesBackend checks that canceling a request cancels it at the backend server too.
func TestCancellationReachesBackend(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var ended atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
		ended.Store(true)
	}))
	defer server.Close()
	result := newClient().Run(ctx, backend.Target{Address: strings.TrimPrefix(server.URL, "http://")}, newRequest(http.MethodGet, "", ""))
	is.Equal(result.Reply.Reason, call.ReasonCanceled)
	harness.Eventually(t, 10*time.Second, ended.Load)
}

// TestLimitChangeClosesIdleConnections checks that each change of the connection limit closes the idle connections.
func TestLimitChangeClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	var open atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	defer server.Close()
	client, address := newClient(), strings.TrimPrefix(server.URL, "http://")
	for connections := range 5 {
		client.SetMaxConnections(connections + 1)
		is.Equal(client.Run(t.Context(), backend.Target{Address: address}, newRequest(http.MethodGet, "", "")).Reply.Status, http.StatusOK)
	}
	harness.Eventually(t, 10*time.Second, func() bool { return open.Load() == 1 })
}

// TestConnectionCountsUntilServerClosesIt guards against exceeding the connection limit of the backend server. A
// canceled request closes its connection, but the backend server may hold it for longer; until then, the next request
// must wait.
func TestConnectionCountsUntilServerClosesIt(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client, address := newClient(), strings.TrimPrefix(server.URL, "http://")
	client.SetMaxConnections(1)
	var group conc.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan backend.Result, 1)
	group.Go(func() { first <- client.Run(ctx, backend.Target{Address: address}, newRequest(http.MethodGet, "", "")) })
	<-started
	cancel()
	is.Equal((<-first).Reply.Reason, call.ReasonCanceled) // immediately, although the backend server still runs the request
	waitCtx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	second := client.Run(waitCtx, backend.Target{Address: address}, newRequest(http.MethodGet, "", ""))
	is.Equal(second.Reply.Reason, call.ReasonDeadline)
	is.Equal(second.Reply.Outcome, call.NotRun)
	is.Equal(opened.Load(), int32(1))
	close(release)
	third := client.Run(t.Context(), backend.Target{Address: address}, newRequest(http.MethodGet, "", ""))
	is.Equal(third.Reply.Status, http.StatusOK)
}
