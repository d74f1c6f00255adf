package routed_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
)

const (
	// crashHost and crashPath are the host and the path of the request that crashes backend servers.
	crashHost = "sheets.example"
	crashPath = "/hall/plan"
	// maxCrashes is how many crashes docs/QUARANTINE.md allows until the term ends, which is longer than these tests.
	maxCrashes = 2
	// backAfter is the time from a crash of a backend server to its next start.
	backAfter = time.Second
)

// crashingServers counts the crashes of the backend servers of one test.
type crashingServers struct {
	fleet   *fleet
	crashes atomic.Int64
	group   conc.WaitGroup

	mu sync.Mutex
	// listeners are those of backend servers that were started again. ended is set at the end of the test.
	listeners []net.Listener
	ended     bool
}

func newCrashingServers(t *testing.T, f *fleet) *crashingServers {
	s := &crashingServers{fleet: f}
	t.Cleanup(func() {
		s.mu.Lock()
		s.ended = true
		s.mu.Unlock()
		s.closeListeners("")
		s.group.Wait()
	})
	return s
}

// add starts a node beside a backend server that crashes when it gets the request for crashPath.
func (s *crashingServers) add(t *testing.T, service string) {
	var n *testNode
	n = s.fleet.add(t, "zone_1", service, func(w http.ResponseWriter, r *http.Request) {
		if r.Host != crashHost || r.Method != http.MethodGet || r.URL.RequestURI() != crashPath {
			hello(w, r)
			return
		}
		s.crashes.Add(1)
		s.group.Go(func() { s.crash(n) })
		panic(http.ErrAbortHandler)
	})
}

// crash closes all connections of the backend server, which refuses new ones until backAfter has passed.
func (s *crashingServers) crash(n *testNode) {
	address := n.server.Listener.Addr().String()
	_ = n.server.Listener.Close()
	s.closeListeners(address)
	n.server.CloseClientConnections()
	time.Sleep(backAfter)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = l.Close()
		return
	}
	s.listeners = append(s.listeners, l)
	s.group.Go(func() { _ = n.server.Config.Serve(l) })
}

// closeListeners closes the listeners at the address; with "", all.
func (s *crashingServers) closeListeners(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		if address == "" || l.Addr().String() == address {
			_ = l.Close()
		}
	}
}

// newCrashFleet starts a node beside a crashing backend server of each of the services, and returns them with a node beside a backend
// server of bookings, through which requests are sent.
func newCrashFleet(t *testing.T, c routes.Configuration, services ...string) (*crashingServers, *testNode) {
	f := newFleet(t, c)
	s := newCrashingServers(t, f)
	for _, service := range services {
		s.add(t, service)
	}
	entry := f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	return s, entry
}

// sendBad sends the request that crashes backend servers to the node, again and again.
func sendBad(t *testing.T, n *testNode, count int, interval time.Duration) {
	for range count {
		n.call(t, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, "GET", crashHost, crashPath)
		time.Sleep(interval)
	}
}

// crashRoutes returns a route on which a request is sent to one backend server, of the services in equal shares.
func crashRoutes(services ...string) routes.Configuration {
	c := twoServices(1)
	c.Routes[0].MaxAttempts = 1
	c.Routes[0].Clusters = nil
	c.Services = append(c.Services, routes.Service{Name: "annex", MaxConnections: 256})
	for _, service := range services {
		c.Routes[0].Clusters = append(c.Routes[0].Clusters, routes.Cluster{Service: service, Weight: 1})
	}
	return c
}

// Guards against a node that misses the news of a crash because its own backend server is down at that time, and then runs the
// request that caused it.
func TestNewsOfACrashReachesNodesWhoseBackendServersAreDown(t *testing.T) {
	is := is.New(t)
	servers, entry := newCrashFleet(t, crashRoutes("crew"), "crew", "crew")
	sendBad(t, entry, 16, backAfter/2)
	is.Equal(servers.crashes.Load(), int64(maxCrashes))
}

// Guards against a request that crashes the backend servers of each service of a split route as often as if the others had learned
// nothing.
func TestCrashesOnASplitRouteAddUp(t *testing.T) {
	is := is.New(t)
	servers, entry := newCrashFleet(t, crashRoutes("crew", "annex"), "crew", "crew", "annex", "annex")
	sendBad(t, entry, 16, backAfter/2)
	is.Equal(servers.crashes.Load(), int64(maxCrashes))
}

// Guards against nodes that forget, with their processes, which request crashes backend servers, and let it through again.
func TestCrashesAreKnownAfterARestart(t *testing.T) {
	for name, restarted := range map[string]int{"one node restarts": 1, "all nodes restart": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			servers, entry := newCrashFleet(t, crashRoutes("crew"), "crew", "crew")
			f := servers.fleet
			sendBad(t, entry, 4, backAfter/2)
			is.Equal(servers.crashes.Load(), int64(maxCrashes))
			for _, n := range f.nodes[:restarted] {
				n.stop()
			}
			for _, n := range f.nodes[:restarted] {
				f.restart(t, n)
			}
			time.Sleep(time.Second)
			is.Equal(entry.call(t, &http.Client{}, "GET", "sheets.example", "/a").status, http.StatusOK)
			sendBad(t, entry, 4, backAfter/2)
			is.Equal(servers.crashes.Load(), int64(maxCrashes))
		})
	}
}

// Guards against a request that crashes backend servers and is let through again because the operators have given its path a route of
// another name.
func TestCrashesAreKnownUnderEachRoute(t *testing.T) {
	renamed := func(c *routes.Configuration, version uint64) {
		c.Routes[0].Name = fmt.Sprintf("sheets_%d", version)
	}
	split := func(c *routes.Configuration, version uint64) {
		hall := c.Routes[0]
		hall.Name, hall.Prefix = fmt.Sprintf("hall_%d", version), "/hall/"
		c.Routes = append(c.Routes, hall)
	}
	for name, test := range map[string]struct {
		change func(c *routes.Configuration, version uint64)
		// before is how often the request is sent before the first change.
		before int
	}{
		"renamed after the quarantine":    {renamed, 4},
		"renamed between two crashes":     {renamed, 1},
		"split off after the quarantine":  {split, 4},
		"split off between the crashes":   {split, 1},
		"renamed before anything crashed": {renamed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			servers, entry := newCrashFleet(t, crashRoutes("crew"), "crew", "crew")
			sendBad(t, entry, test.before, backAfter/2)
			for version := range uint64(2) {
				c := crashRoutes("crew")
				c.Version = version + 2
				test.change(&c, c.Version)
				servers.fleet.setRoutes(t, c)
				time.Sleep(backAfter)
				sendBad(t, entry, 2, backAfter/2)
			}
			is.Equal(servers.crashes.Load(), int64(maxCrashes))
		})
	}
}

// Guards against a service that learns nothing of a request that crashes backend servers until the operators let a route lead to it, so
// that the request crashes one backend server more with each move of its route.
func TestCrashesAreKnownWhereARouteMoves(t *testing.T) {
	is := is.New(t)
	servers, entry := newCrashFleet(t, crashRoutes("crew"), "crew", "crew", "annex", "annex")
	sendBad(t, entry, 3, backAfter/2)
	is.Equal(servers.crashes.Load(), int64(maxCrashes))
	c := crashRoutes("annex")
	c.Version = 2
	servers.fleet.setRoutes(t, c)
	time.Sleep(backAfter)
	sendBad(t, entry, 4, backAfter/2)
	is.Equal(entry.call(t, &http.Client{}, "GET", crashHost, "/hall/").status, http.StatusOK)
	is.Equal(servers.crashes.Load(), int64(maxCrashes))
}

// Guards against requests that are refused because they resemble one that crashes backend servers: with its path on another host, under
// another method, with a query, or beside it.
func TestRequestsThatResembleACrashingOneAreServed(t *testing.T) {
	is := is.New(t)
	c := crashRoutes("crew")
	annex := c.Routes[0]
	annex.Name, annex.Host = "annex", "annex.example"
	c.Routes = append(c.Routes, annex)
	servers, entry := newCrashFleet(t, c, "crew", "crew")
	sendBad(t, entry, 6, backAfter/2)
	is.Equal(servers.crashes.Load(), int64(maxCrashes))
	is.Equal(entry.call(t, &http.Client{}, "GET", crashHost, crashPath).status, http.StatusServiceUnavailable)
	for name, sent := range map[string]struct{ method, host, path string }{
		"other host":   {"GET", "annex.example", crashPath},
		"other method": {"POST", crashHost, crashPath},
		"with a query": {"GET", crashHost, crashPath + "?x=1"},
		"beside it":    {"GET", crashHost, crashPath + "s"},
		"below it":     {"GET", crashHost, crashPath + "/1"},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(entry.call(t, &http.Client{}, sent.method, sent.host, sent.path).status, http.StatusOK)
		})
	}
	is.Equal(servers.crashes.Load(), int64(maxCrashes))
}
