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

func TestWhatARefusalShowsOfAnInstance(t *testing.T) {
	for name, test := range map[string]struct {
		reply call.Reply
		took  time.Duration
		want  routing.Result
	}{
		"good answer":              {call.Reply{Outcome: call.Ran, Status: 404}, 0, routing.Good},
		"server error":             {call.Reply{Outcome: call.Ran, Status: 500}, 0, routing.Failed},
		"server error from deeper": {call.Reply{Outcome: call.Ran, Status: 500, Deeper: call.ReasonOverload}, 0, routing.Neutral},
		"shed":                     {call.Refused(call.NotRun, call.ReasonOverload, 0), 0, routing.Shed},
		"leaving":                  {call.Refused(call.NotRun, call.ReasonDraining, 0), 0, routing.Shed},
		"out of reach":             {call.Refused(call.NotRun, call.ReasonPeerUnreachable, 0), 0, routing.Failed},
		"caller went away":         {call.Refused(call.Unknown, call.ReasonCanceled, 0), 0, routing.Neutral},
		"quarantined":              {call.Refused(call.NotRun, call.ReasonQuarantined, 0), 0, routing.Neutral},
		"silent":                   {call.Refused(call.Unknown, call.ReasonPeerSilent, 0), time.Second, routing.Failed},
		"impatient caller":         {call.Refused(call.Unknown, call.ReasonPeerSilent, 0), time.Millisecond, routing.Neutral},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(routingResult(&test.reply, test.took), test.want)
		})
	}
}

func TestViewsOfThoseThatLeftAreDropped(t *testing.T) {
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
	v.begin("one", 0) // an attempt of before is nobody's any more
	v.end("one", now, now, &call.Request{}, call.Reply{})
	is.Equal(v.count("a"), 1)
	_, ok = v.choose("a", nil, now, routing.Request{})
	is.True(!ok)
	is.Equal(len(v.byNode), 0)
}

// A request is spilled over where its own zone has instances that take work, and not where it has none.
func TestSpilledRequests(t *testing.T) {
	for name, test := range map[string]struct {
		own    []membership.Member
		leaves bool
		want   bool
	}{
		"own zone has room for others": {own: []membership.Member{{Node: "near", Zone: "z"}}, want: true},
		"own zone's instance leaves":   {own: []membership.Member{{Node: "near", Zone: "z"}}, leaves: true},
		"own zone has none":            {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newInstanceViews(routing.DefaultConfig("sender", "z"))
			now := time.Unix(1_000_000, 0)
			members := append(test.own, membership.Member{Node: "far", Zone: "y"})
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
