package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func TestTrialEnd(t *testing.T) {
	ran := call.Reply{Outcome: call.Ran, Status: 500}
	lost := call.Refused(call.Unknown, call.ReasonPeerUnreachable, 0)
	refused := call.Refused(call.NotRun, call.ReasonOverload, 0)
	for name, test := range map[string]struct {
		replies []call.Reply
		want    call.Outcome
	}{
		"refused by all":       {[]call.Reply{refused, refused}, call.NotRun},
		"refused after a run":  {[]call.Reply{ran, refused}, call.Unknown},
		"refused after a loss": {[]call.Reply{lost, refused}, call.Unknown},
		"ran after a refusal":  {[]call.Reply{refused, ran}, call.Ran},
		"ran after a loss":     {[]call.Reply{lost, ran}, call.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			var tr sendState
			for _, r := range test.replies {
				tr.record("node", r)
			}
			is.New(t).Equal(tr.finalReply(test.replies[len(test.replies)-1]).Outcome, test.want)
		})
	}
}

// Pattern: calls are turned away after they waited, and go elsewhere. All of their waiting counts for the request that made
// them.
func TestTrialEndSumsWhatAttemptsWaited(t *testing.T) {
	is := is.New(t)
	refused := call.Refused(call.NotRun, call.ReasonQueueTimeout, 0)
	refused.Waited = 300 * time.Millisecond
	ran := call.Reply{Outcome: call.Ran, Status: 200, Waited: 20 * time.Millisecond, FarBytes: 800}
	var tr sendState
	tr.record("near", refused)
	tr.record("far", ran)
	end := tr.finalReply(ran)
	is.Equal(end.Waited, 320*time.Millisecond)
	is.Equal(end.FarBytes, int64(800))
}
