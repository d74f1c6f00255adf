package flow

import (
	"testing"

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
			var tr trial
			for _, r := range test.replies {
				tr.note("node", r)
			}
			is.New(t).Equal(tr.end(test.replies[len(test.replies)-1]).Outcome, test.want)
		})
	}
}
