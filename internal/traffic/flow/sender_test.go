package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func TestFinalReplyOutcome(t *testing.T) {
	ran := call.Reply{Outcome: call.Ran, Status: 500}
	lost := call.Refused(call.Unknown, call.ReasonPeerUnreachable, 0)
	refused := call.Refused(call.NotRun, call.ReasonOverload, 0)
	for name, test := range map[string]struct {
		replies []call.Reply
		want    call.Outcome
	}{
		"all refused":              {[]call.Reply{refused, refused}, call.NotRun},
		"ran, then refused":        {[]call.Reply{ran, refused}, call.Unknown},
		"reply lost, then refused": {[]call.Reply{lost, refused}, call.Unknown},
		"refused, then ran":        {[]call.Reply{refused, ran}, call.Ran},
		"reply lost, then ran":     {[]call.Reply{lost, ran}, call.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			var state sendState
			for _, r := range test.replies {
				state.record("node", r)
			}
			is.New(t).Equal(state.finalReply(test.replies[len(test.replies)-1]).Outcome, test.want)
		})
	}
}

// Calls that are refused after queueing are sent to another instance. The reply must sum the queueing delays of all
// attempts.
func TestFinalReplySumsQueueingDelay(t *testing.T) {
	is := is.New(t)
	refused := call.Refused(call.NotRun, call.ReasonQueueTimeout, 0)
	refused.QueueingDelay = 300 * time.Millisecond
	ran := call.Reply{Outcome: call.Ran, Status: 200, QueueingDelay: 20 * time.Millisecond, CrossZoneBytes: 800}
	var state sendState
	state.record("near", refused)
	state.record("far", ran)
	final := state.finalReply(ran)
	is.Equal(final.QueueingDelay, 320*time.Millisecond)
	is.Equal(final.CrossZoneBytes, int64(800))
}
