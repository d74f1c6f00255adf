package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func TestRoutingResult(t *testing.T) {
	for name, test := range map[string]struct {
		reply   call.Reply
		elapsed time.Duration
		want    routing.Result
	}{
		"successful reply":                {call.Reply{Outcome: call.Ran, Status: 404}, 0, routing.Good},
		"server error":                    {call.Reply{Outcome: call.Ran, Status: 500}, 0, routing.Failed},
		"server error from downstream":    {call.Reply{Outcome: call.Ran, Status: 500, DownstreamFailure: call.ReasonOverload}, 0, routing.Neutral},
		"shed":                            {call.Refused(call.NotRun, call.ReasonOverload, 0), 0, routing.Shed},
		"leaving":                         {call.Refused(call.NotRun, call.ReasonDraining, 0), 0, routing.Shed},
		"node is unreachable":             {call.Refused(call.NotRun, call.ReasonPeerUnreachable, 0), 0, routing.Failed},
		"request canceled":                {call.Refused(call.Unknown, call.ReasonCanceled, 0), 0, routing.Neutral},
		"quarantined":                     {call.Refused(call.NotRun, call.ReasonQuarantined, 0), 0, routing.Neutral},
		"silent":                          {call.Refused(call.Unknown, call.ReasonPeerSilent, 0), time.Second, routing.Failed},
		"silent for less than minSilence": {call.Refused(call.Unknown, call.ReasonPeerSilent, 0), time.Millisecond, routing.Neutral},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(routingResult(&test.reply, test.elapsed), test.want)
		})
	}
}

func TestViewsOfDepartedNodesAreDropped(t *testing.T) {
	is := is.New(t)
	v := newInstanceViews(routing.DefaultConfig("sender", "z"))
	now := time.Unix(1_000_000, 0)
	members := board.Members{ByService: map[string][]membership.Member{"a": {{Node: "one", Zone: "z"}, {Node: "two", Zone: "z"}}}}
	_, ok := v.choose("a", members.ByService["a"], now, routing.Request{})
	is.True(ok)
	is.Equal(len(v.byNode), 2)
	chosen, ok := v.choose("a", members.ByService["a"][1:], now, routing.Request{})
	is.True(ok)
	is.Equal(chosen.node, "two")
	is.Equal(len(v.byNode), 1)
	v.begin("one", 0) // an attempt that began before the node left is ignored
	v.end("one", now, now, &call.Request{}, call.Reply{})
	is.Equal(v.count("a"), 1)
	_, ok = v.choose("a", nil, now, routing.Request{})
	is.True(!ok)
	is.Equal(len(v.byNode), 0)
}

// A request counts as spilled only if the local zone has instances that accept requests.
func TestSpilledRequests(t *testing.T) {
	for name, test := range map[string]struct {
		local  []membership.Member
		leaves bool
		want   bool
	}{
		"local zone accepts other kinds": {local: []membership.Member{{Node: "near", Zone: "z"}}, want: true},
		"local instance is leaving":      {local: []membership.Member{{Node: "near", Zone: "z"}}, leaves: true},
		"no local instance":              {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newInstanceViews(routing.DefaultConfig("sender", "z"))
			now := time.Unix(1_000_000, 0)
			members := append(test.local, membership.Member{Node: "far", Zone: "y"})
			request := routing.Request{Kind: "sheets", Tried: []string{"near"}}
			_, ok := v.choose("a", members, now, request)
			is.True(ok)
			reason := call.ReasonCallsWait
			if test.leaves {
				reason = call.ReasonDraining
			}
			v.end("near", now, now, &call.Request{Kind: "sheets"}, call.Refused(call.NotRun, reason, 0))
			chosen, ok := v.choose("a", members, now, request)
			is.True(ok)
			is.Equal(chosen, choice{node: "far", spilled: test.want})
		})
	}
}
