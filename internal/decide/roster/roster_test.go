package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/roster"
)

func entry(node string, revision uint64, state membership.State) roster.Entry {
	return roster.Entry{
		Key: node, Revision: revision,
		Member: membership.Member{Node: node, PeerAddress: "10.0.0.1:" + node, Service: "keys", State: state},
	}
}

func deleted(node string, revision uint64) roster.Change {
	return roster.Change{Entry: roster.Entry{Key: node, Revision: revision}, Deleted: true}
}

func TestMembers(t *testing.T) {
	now := time.Now()
	up, leaving := entry("a", 5, membership.Up), entry("a", 5, membership.Leaving)
	for name, test := range map[string]struct {
		changes     []roster.Change
		after       time.Duration
		want        bool
		unconfirmed bool
	}{
		"entry exists":                       {[]roster.Change{{Entry: up}}, 0, true, false},
		"entry deleted without leaving":      {[]roster.Change{{Entry: up}, deleted("a", 6)}, time.Second, true, true},
		"past the time that it is kept":      {[]roster.Change{{Entry: up}, deleted("a", 6)}, time.Minute, false, false},
		"entry deleted after leaving":        {[]roster.Change{{Entry: leaving}, deleted("a", 6)}, 0, false, false},
		"entry created again":                {[]roster.Change{{Entry: up}, deleted("a", 6), {Entry: entry("a", 7, membership.Up)}}, 0, true, false},
		"an older change arrives late":       {[]roster.Change{{Entry: up}, deleted("a", 4)}, 0, true, false},
		"address reused after the deletion":  {[]roster.Change{{Entry: up}, deleted("a", 6), {Entry: roster.Entry{Key: "b", Revision: 8, Member: membership.Member{Node: "b", PeerAddress: up.Member.PeerAddress}}}}, 0, false, false},
		"address reused before the deletion": {[]roster.Change{{Entry: up}, {Entry: roster.Entry{Key: "b", Revision: 8, Member: membership.Member{Node: "b", PeerAddress: up.Member.PeerAddress}}}, deleted("a", 9)}, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.DefaultConfig)
			for _, c := range test.changes {
				r.Apply(now, c)
			}
			var found *membership.Member
			for _, m := range r.Members(now.Add(test.after)) {
				if m.Node == "a" {
					found = &m
				}
			}
			is.Equal(found != nil, test.want)
			if found != nil {
				is.Equal(found.Unconfirmed, test.unconfirmed)
			}
		})
	}
}

// A list that lacks a member has the effect of deleting the member's entry.
func TestReplaceKeepsMissingMembers(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := roster.New(roster.DefaultConfig)
	r.Replace(now, []roster.Entry{entry("a", 1, membership.Up), entry("b", 2, membership.Up)})
	r.Replace(now, []roster.Entry{entry("b", 2, membership.Up)})
	members := r.Members(now)
	is.Equal(len(members), 2)
	is.True(members[0].Unconfirmed)
	is.True(!members[1].Unconfirmed)
}

// A fleet is restarted node by node. The calls to the store must not grow with the square of the fleet, and a change
// must be seen soon.
func TestCoalesceDelayLimitsCallsToStore(t *testing.T) {
	for name, test := range map[string]struct {
		members int
		// maxCalls is the limit of calls per second by the whole fleet.
		maxCalls float64
	}{
		"13":  {13, 90},
		"60":  {60, 90},
		"300": {300, 200}, // a tenth of the calls that the store of 13 members can take
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			delay := roster.CoalesceDelay(test.members)
			is.True(float64(test.members)/delay.Seconds() <= test.maxCalls)
			is.True(delay <= 1500*time.Millisecond)
		})
	}
}
