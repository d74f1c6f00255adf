package routed_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

func hello(w http.ResponseWriter, r *http.Request) {
	_, _ = w.Write([]byte("hello " + r.URL.Path + " from " + r.Header.Get("Calling-Service") + " to " + r.Header.Get("Only-Instance") + " at " + r.Host))
}

func TestRequestGoesToItsService(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	crew := f.add(t, "zone_1", "crew", hello)
	f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	client := &http.Client{}
	is.Equal(crew.call(t, client, "GET", "sheets.example", "/a").body, "hello /a from crew to i_node_1 at sheets.example")
	is.Equal(crew.call(t, client, "POST", "deposits.example", "/b").body, "hello /b from crew to i_node_2 at deposits.example")
	is.Equal(crew.call(t, client, "GET", "unknown.example", "/").status, http.StatusNotFound)
}

func TestLeavingBackendServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	crew := f.add(t, "zone_1", "crew", hello)
	first := f.add(t, "zone_1", "bookings", hello)
	f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	client := &http.Client{}
	first.announceServer(true) // returns when it is in effect
	for range 20 {
		is.True(strings.Contains(crew.call(t, client, "POST", "deposits.example", "/b").body, "to i_node_3"))
	}
}

// A node whose calls the store refuses loses its member entry. Its peers must keep sending it requests, and it must
// register again by itself once the store accepts its calls.
func TestNodeWithoutStoreKeepsServing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	crew := f.add(t, "zone_1", "crew", hello)
	f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	f.store.SetFaults(kv.Faults{RefuseNodes: map[string]bool{"node_2": true}})
	f.store.Revoke("members/node_2")
	time.Sleep(time.Second)
	client := &http.Client{}
	is.Equal(crew.call(t, client, "POST", "deposits.example", "/b").status, http.StatusOK)
	f.store.SetFaults(kv.Faults{})
	time.Sleep(2 * time.Second)
	is.True(f.store.Item("members/node_2").Revision > 0) // it registered again by itself
}

// A node must answer both the requests in flight and new ones while it drains.
func TestDrainingNodeServesNewRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	crew := f.add(t, "zone_1", "crew", hello)
	f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	is.True(crew.ready())
	crew.stop()
	time.Sleep(100 * time.Millisecond)
	is.True(!crew.ready())
	client := &http.Client{}
	begin := time.Now()
	for time.Since(begin) < 2300*time.Millisecond {
		is.Equal(crew.call(t, client, "POST", "deposits.example", "/b").status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	// Later requests are refused before they are read, so that none is interrupted when the process ends.
	time.Sleep(3200*time.Millisecond - time.Since(begin))
	is.Equal(crew.call(t, client, "POST", "deposits.example", "/b").status, 0)
	select {
	case <-crew.ended:
	case <-time.After(4 * time.Second):
		t.Fatal("the node did not stop")
	}
}

// Guards against requests that fail while the nodes of a fleet are restarted one after the other and their backend
// servers keep running. A draining node must pass requests on to its backend server until its callers have left, and
// must not interrupt a request when it stops.
func TestDrainingNodeForwardsToItsBackendServer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	crew := f.add(t, "zone_1", "crew", hello)
	bookings := f.add(t, "zone_1", "bookings", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		hello(w, r)
	})
	f.waitReady(t)
	bookings.stop()
	begin := time.Now()
	client := &http.Client{}
	for ended := false; !ended; {
		got := crew.call(t, client, "POST", "deposits.example", "/b").status
		if time.Since(begin) < 2*time.Second {
			is.Equal(got, http.StatusOK)
		}
		is.True(got == http.StatusOK || got == http.StatusServiceUnavailable) // never interrupted
		select {
		case <-bookings.ended:
			ended = true
		case <-time.After(5 * time.Millisecond):
		}
	}
	is.True(time.Since(begin) < 5*time.Second)
}

// Guards against failed calls of a backend server whose node drains. The calls go through the draining node, so the
// backend server must stop getting requests early enough for their calls to finish.
func TestCallsSucceedWhileTheNodeDrains(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	var leaving *testNode
	var ran atomic.Int64
	client := &http.Client{}
	leaving = f.add(t, "zone_1", "crew", func(w http.ResponseWriter, r *http.Request) {
		work := 200*time.Millisecond + time.Duration(ran.Add(1))*2*time.Millisecond // each request has a different remaining time
		time.Sleep(work)
		left, err := strconv.Atoi(r.Header.Get("Time-Left"))
		is.NoErr(err)
		left -= int(work.Milliseconds()) // the call has the deadline of the request
		if leaving.callWithin(t, client, "POST", "deposits.example", "/b", strconv.Itoa(left)).status != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	entry := f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	for range 10 { // until the node has learned that these requests make calls
		is.Equal(entry.call(t, client, "GET", "sheets.example", "/a").status, http.StatusOK)
	}
	leaving.stop()
	for ended := false; !ended; {
		got := entry.call(t, client, "GET", "sheets.example", "/a").status
		is.True(got == http.StatusOK || got == http.StatusServiceUnavailable)
		select {
		case <-leaving.ended:
			ended = true
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// A request for a service without instances must be refused immediately, with status 503 and a Retry-After header.
func TestRefusalSaysNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	crew := f.add(t, "zone_1", "crew", hello)
	f.waitReady(t)
	begin := time.Now()
	got := crew.call(t, &http.Client{}, "POST", "deposits.example", "/b")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.True(time.Since(begin) < time.Second)
}

// Guards against routes that go back when the store is restored from a copy that is older than the routes in force, and
// against later routes that are missed because their revision was given out before.
func TestRoutesOfARestoredStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	crew := f.add(t, "zone_1", "crew", hello)
	f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	before := f.store.Copy()
	f.setRoutes(t, withRoute(2, "added.example"))
	time.Sleep(time.Second)
	client := &http.Client{}
	is.Equal(crew.call(t, client, "GET", "added.example", "/a").status, http.StatusOK)
	f.store.RestoreWithoutLeases(before)
	for range 10 {
		is.Equal(crew.call(t, client, "GET", "added.example", "/a").status, http.StatusOK)
		time.Sleep(200 * time.Millisecond)
	}
	f.setRoutes(t, withRoute(2, "added.example")) // the operators write it again, and then another version
	f.setRoutes(t, withRoute(3, "later.example"))
	time.Sleep(2 * time.Second)
	is.Equal(crew.call(t, client, "GET", "later.example", "/a").status, http.StatusOK)
}
