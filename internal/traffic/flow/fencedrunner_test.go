package flow

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// callbackRunner calls a function while it runs a request.
type callbackRunner struct {
	during func()
}

func (r callbackRunner) Receive(context.Context, *call.Request) call.Reply {
	r.during()
	return call.Reply{Outcome: call.Ran, Status: 200}
}

// To a sender that still knows an earlier incarnation of the node, a running attempt must not be reported as absent.
func TestResolveRunningAttemptOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	var f *FencedRunner
	resolve := func(id string, incarnation uint64) peer.Resolution {
		return f.Resolve(peer.ResolveQuery{AttemptID: id, Incarnation: incarnation})
	}
	f = NewFencedRunner(callbackRunner{func() {
		is.Equal(resolve("a", 1), peer.Resolution{Known: true, State: outcome.Running})
		is.Equal(resolve("a", 2), peer.Resolution{Known: true, State: outcome.Running})
	}}, 2)
	is.Equal(f.Receive(t.Context(), &call.Request{AttemptID: "a"}).Outcome, call.Ran)
	is.Equal(resolve("b", 1), peer.Resolution{})                                   // the earlier process may have run it
	is.Equal(resolve("c", 2), peer.Resolution{Known: true, State: outcome.NotRun}) // the query fences the attempt
	is.Equal(f.Receive(t.Context(), &call.Request{AttemptID: "c"}).Outcome, call.NotRun)
}
