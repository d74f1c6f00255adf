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

func TestLeavingBackendServerIsToldAndGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	crew := f.add(t, "zone_1", "crew", hello)
	first := f.add(t, "zone_1", "bookings", hello)
	f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	client := &http.Client{}
	first.heartbeat(true) // returns when the node goes by it
	for range 20 {
		is.True(strings.Contains(crew.call(t, client, "POST", "deposits.example", "/b").body, "to i_node_3"))
	}
}

// A node that the store turns away loses its entry, and goes on to get requests.
func TestNodeCutFromTheStoreGoesOn(t *testing.T) {
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
	is.True(f.store.Item("members/node_2").Revision > 0) // it is back by itself
}

// Requests that are in flight, and those that still come, are answered while a node leaves.
func TestLeavingNodeAnswersWhatComes(t *testing.T) {
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
	// Callers who don't go away are turned away before they are read, so that none is cut at the end.
	time.Sleep(3200*time.Millisecond - time.Since(begin))
	is.Equal(crew.call(t, client, "POST", "deposits.example", "/b").status, 0)
	select {
	case <-crew.ended:
	case <-time.After(4 * time.Second):
		t.Fatal("the node doesn't end")
	}
}

// Pattern: the nodes of a fleet are stopped one after the other, and their backend servers run on. A node passes requests on
// to its backend server until it has no callers any more, and cuts none at its end.
func TestBackendServerOfALeavingNodeWorksOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	crew := f.add(t, "zone_1", "crew", hello)
	only := f.add(t, "zone_1", "bookings", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		hello(w, r)
	})
	f.waitReady(t)
	only.stop()
	begin := time.Now()
	client := &http.Client{}
	for ended := false; !ended; {
		got := crew.call(t, client, "POST", "deposits.example", "/b").status
		if time.Since(begin) < 2*time.Second {
			is.Equal(got, http.StatusOK)
		}
		is.True(got == http.StatusOK || got == http.StatusServiceUnavailable) // never cut
		select {
		case <-only.ended:
			ended = true
		case <-time.After(5 * time.Millisecond):
		}
	}
	is.True(time.Since(begin) < 5*time.Second)
}

// Pattern: the same beside a backend server whose requests make calls. The calls go through the node that leaves, so the
// backend server gets no more work while there is still time for them.
func TestCallsOfALeavingNodeGoThrough(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	var leaving *testNode
	var ran atomic.Int64
	client := &http.Client{}
	leaving = f.add(t, "zone_1", "crew", func(w http.ResponseWriter, r *http.Request) {
		work := 200*time.Millisecond + time.Duration(ran.Add(1))*2*time.Millisecond // no two have the same time left
		time.Sleep(work)
		left, err := strconv.Atoi(r.Header.Get("Time-Left"))
		is.NoErr(err)
		left -= int(work.Milliseconds()) // the call expires with the request
		if leaving.callWithin(t, client, "POST", "deposits.example", "/b", strconv.Itoa(left)).status != http.StatusOK {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	entry := f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	for range 10 { // until the calls are known as such
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

// What can't run is refused at once, with a status that says so and when to come back.
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
