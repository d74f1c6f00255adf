package platform_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// Guards against a response of the platform that is none and is believed: a key would count as gone, a write as refused, or a lease as
// renewed. Its connection must carry nothing more.
func TestMalformedResponsesAreNone(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\n{}"
	calls := map[string]func(context.Context, *platform.Client) error{
		"get":  func(ctx context.Context, c *platform.Client) error { _, err := c.Get(ctx, "a"); return err },
		"list": func(ctx context.Context, c *platform.Client) error { _, err := c.List(ctx, "a"); return err },
		"swap": func(ctx context.Context, c *platform.Client) error {
			_, err := c.CompareAndSwap(ctx, platform.Swap{Key: "a"})
			return err
		},
		"renew": func(ctx context.Context, c *platform.Client) error {
			return c.RenewLease(ctx, platform.Lease{ID: "a"})
		},
	}
	for name, test := range map[string]struct {
		call, response string
		ends           bool
	}{
		"blank in a name":                {"list", "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + body, false},
		"blank in a name, refused write": {"swap", "HTTP/1.1 409 Conflict\r\nX Bad: 1\r\n" + body, false},
		"blank in a name, missing key":   {"get", "HTTP/1.1 404 Not Found\r\nX Bad: 1\r\n" + body, false},
		"version 2":                      {"list", "HTTP/2.0 200 OK\r\n" + body, false},
		"status 000":                     {"list", "HTTP/1.1 000 \r\n" + body, false},
		"not JSON":                       {"list", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n<>", false},
		"renewal cut, without length":    {"renew", "HTTP/1.1 200 OK\r\n\r\n{", true},
		"refusal cut, without length":    {"swap", "HTTP/1.1 409 Conflict\r\n\r\n{", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calledBefore atomic.Bool
			s := harness.NewScriptedHTTPServer(t, func() (string, bool) {
				if calledBefore.Swap(true) {
					return "HTTP/1.1 200 OK\r\n" + body, false
				}
				return test.response, test.ends
			})
			client := platform.NewClient(platform.Config{URL: "http://" + s.Address, Timeout: time.Second})
			err := calls[test.call](t.Context(), client)
			is.True(err != nil)
			is.True(!errors.Is(err, platform.ErrCompareFailed) && !errors.Is(err, platform.ErrNotFound)) // nothing is known
			is.NoErr(client.RenewLease(t.Context(), platform.Lease{ID: "a"}))
			is.Equal(s.Connections(), int64(2)) // the first connection carries nothing more
		})
	}
}
