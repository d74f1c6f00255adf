package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func TestResentRequests(t *testing.T) {
	for name, test := range map[string]struct {
		key     string
		minted  bool
		first   call.Reply
		resends int
		want    bool
	}{
		"earlier copy succeeded":                {"", false, ranReply, 0, false},
		"earlier copy shed":                     {"", false, shedReply, 0, true},
		"caller reports a resend":               {"", false, ranReply, 1, true},
		"earlier copy shed, minted key":         {"minted", true, shedReply, 0, true},
		"reply not_run, caller's key":           {"own", false, shedReply, 0, true},
		"reply lost, caller's key":              {"own", false, lostReply, 0, false},
		"caller reports a resend, caller's key": {"own", false, ranReply, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, now := newEntryThrottles(throttle.DefaultConfig), time.Unix(1_000_000, 0)
			r := &call.Request{Service: "access", Method: "POST", Path: "/bookings", Key: test.key, KeyMinted: test.minted}
			e.observe(now, r, &test.first)
			resent := &call.Request{Service: r.Service, Method: r.Method, Path: r.Path, Resends: test.resends}
			if !test.minted {
				resent.Key = test.key
			}
			is.Equal(e.isResent(now, resent), test.want)
			resent.Key, resent.Resends = "another", 0
			is.True(!e.isResent(now, resent)) // a request with another key is a different request
		})
	}
}
