package flow

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// Guards against a node that misses the news of a crash because its own backend server is down at that time, and then runs the
// request that caused it.
func TestNewsOfACrashGoesToEachNodeThatMayRunTheRequest(t *testing.T) {
	up := membership.Member{Service: "crew", State: membership.Up}
	for name, test := range map[string]struct {
		member func(m *membership.Member)
		want   bool
	}{
		"same service":           {func(*membership.Member) {}, true},
		"backend server down":    {func(m *membership.Member) { m.BackendLost = true }, true},
		"unconfirmed":            {func(m *membership.Member) { m.Unconfirmed = true }, true},
		"leaving":                {func(m *membership.Member) { m.State = membership.Leaving }, false},
		"other service":          {func(m *membership.Member) { m.Service = "bookings" }, false},
		"the node that tells it": {func(m *membership.Member) { m.Node = "node_1" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			m := up
			m.Node = "node_2"
			test.member(&m)
			b := &board.Board{Self: board.Self{Node: "node_1"}, Members: board.Members{ByNode: map[string]membership.Member{m.Node: m}}}
			informed := informedNodes(b, news{services: []string{"crew"}})
			is.New(t).Equal(slices.Contains(informed, m), test.want)
		})
	}
}

// Guards against a service of a split route that doesn't learn what the others know of a request, also if the route had another name
// when the request was sent.
func TestNewsOfACrashGoesToAllServicesOfTheRoute(t *testing.T) {
	is := is.New(t)
	table, err := routes.NewTable(routes.Configuration{
		Version: 1,
		Routes: []routes.Route{{
			Name: "sheets", Host: "sheets.example", Prefix: "/", Timeout: time.Second, MaxAttempts: 1,
			Clusters: []routes.Cluster{{Service: "crew", Weight: 1}, {Service: "annex", Weight: 1}},
		}},
		Services: []routes.Service{{Name: "crew"}, {Name: "annex"}},
	})
	is.NoErr(err)
	b := &board.Board{Self: board.Self{Node: "node_1"}, Routes: table, Members: board.Members{ByNode: map[string]membership.Member{}}}
	b.Backend.Service = "former" // a service that the route had before
	for _, service := range []string{"crew", "annex", "former", "bookings"} {
		b.Members.ByNode[service] = membership.Member{Node: service, Service: service, State: membership.Up}
	}
	var informed []string
	r := &call.Request{Service: "crew", Kind: "earlier_name", Path: "/bad?x=1", Header: http.Header{call.HostHeader: {"Sheets.Example:80"}}}
	for _, m := range informedNodes(b, news{services: servicesOf(b, r)}) {
		informed = append(informed, m.Node)
	}
	slices.Sort(informed)
	is.Equal(informed, []string{"annex", "crew", "former"})
}
