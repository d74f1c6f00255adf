package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func TestWhatCountsAsSentAgain(t *testing.T) {
	for name, test := range map[string]struct {
		key     string
		minted  bool
		first   call.Reply
		resends int
		want    bool
	}{
		"after a good answer":                        {"", false, ranReply, 0, false},
		"after a shed one":                           {"", false, shedReply, 0, true},
		"as its caller says":                         {"", false, ranReply, 1, true},
		"after a shed one under a minted key":        {"minted", true, shedReply, 0, true},
		"told not_run, under the caller's key":       {"own", false, shedReply, 0, true},
		"lost, under the caller's key":               {"own", false, lostReply, 0, false},
		"as its caller says, under the caller's key": {"own", false, ranReply, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, now := newEntryThrottles(throttle.DefaultConfig), time.Unix(1_000_000, 0)
			r := &call.Request{Service: "access", Method: "POST", Path: "/bookings", Key: test.key, KeyMinted: test.minted}
			e.observe(now, r, &test.first)
			again := &call.Request{Service: r.Service, Method: r.Method, Path: r.Path, Resends: test.resends}
			if !test.minted {
				again.Key = test.key
			}
			is.Equal(e.isResent(now, again), test.want)
			again.Key, again.Resends = "another", 0
			is.True(!e.isResent(now, again)) // another key is another request
		})
	}
}
