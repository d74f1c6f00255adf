package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/roster"
)

// withBackend returns an entry of node a with the start of its backend server.
func withBackend(revision uint64, state membership.State, start string, leaving bool) roster.Change {
	e := entry("a", revision, state)
	e.Member.BackendStart, e.Member.BackendLeaving = start, leaving
	return roster.Change{Entry: e}
}

// Guards against requests to a backend server that has said that it leaves, because the node beside it has restarted and
// writes that it is up.
func TestLeavingBackendServerStaysOutOfUse(t *testing.T) {
	now := time.Now()
	for name, test := range map[string]struct {
		changes []roster.Change
		accepts bool
	}{
		"node restarts":              {[]roster.Change{withBackend(5, membership.Leaving, "i@1", true), withBackend(6, membership.Up, "i@1", false)}, false},
		"node restarts after a gap":  {[]roster.Change{withBackend(5, membership.Leaving, "i@1", true), deleted("a", 6), withBackend(7, membership.Up, "i@1", false)}, false},
		"backend server restarts":    {[]roster.Change{withBackend(5, membership.Leaving, "i@1", true), withBackend(6, membership.Up, "i@2", false)}, true},
		"only the node was draining": {[]roster.Change{withBackend(5, membership.Leaving, "i@1", false), withBackend(6, membership.Up, "i@1", false)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(roster.DefaultConfig)
			for _, c := range test.changes {
				r.Apply(now, c)
			}
			members := r.Members(now)
			is.Equal(len(members), 1)
			is.Equal(members[0].AcceptsRequests(), test.accepts)
		})
	}
}
