package routed_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
)

// patientServices returns two services whose requests may take 20 s.
func patientServices() routes.Configuration {
	c := twoServices(1)
	for n := range c.Routes {
		c.Routes[n].Timeout = 20 * time.Second
	}
	return c
}

// Guards against requests that come late in the grace time of a planned stop, in calm, and are passed on although they can't
// end before the process does: on a connection that a long request kept open, on new ones, and from other nodes.
func TestLateRequestsOfAPlannedStopEndOrDoNotRun(t *testing.T) {
	const work = 1500 * time.Millisecond
	is := is.New(t)
	f := newFleet(t, patientServices())
	ledger := newRunLedger()
	handle := func(w http.ResponseWriter, r *http.Request) {
		ledger.record(r)
		if r.URL.Path == "/long" {
			time.Sleep(2 * work)
		}
		time.Sleep(work)
		hello(w, r)
	}
	other := f.add(t, "zone_1", "crew", hello)
	stopping := f.add(t, "zone_1", "bookings", handle)
	f.waitReady(t)
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	is.Equal(stopping.callWithin(t, kept, "POST", "deposits.example", "/first", "20000").status, http.StatusOK)
	var mu sync.Mutex
	statuses := map[string]int{}
	var group conc.WaitGroup
	send := func(n *testNode, client *http.Client, path string) {
		group.Go(func() {
			status := n.callWithin(t, client, "POST", "deposits.example", path, "20000").status
			mu.Lock()
			defer mu.Unlock()
			statuses[path] = status
		})
	}
	send(stopping, kept, "/long")
	time.Sleep(300 * time.Millisecond)
	stopping.stop()
	for n := range 22 { // until 5.5 s after the stop; the grace time is 6 s
		time.Sleep(250 * time.Millisecond)
		send(stopping, kept, fmt.Sprintf("/kept/%d", n))
		send(stopping, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, fmt.Sprintf("/new/%d", n))
		send(other, &http.Client{}, fmt.Sprintf("/other/%d", n))
	}
	group.Wait()
	cut := 0
	for path, status := range statuses {
		if ledger.count(path) > 0 && status != http.StatusOK {
			cut++
			t.Log(path, "ran, and was answered with", status)
		}
		ledger.checkAnswer(is, path, status)
	}
	is.Equal(cut, 0)
}

// Guards against requests that are cut because the node ends long before its grace time does.
func TestPlannedStopUsesItsGraceTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, patientServices())
	f.stopGrace = 10 * time.Second
	ledger := newRunLedger()
	crew := f.add(t, "zone_1", "crew", hello)
	f.add(t, "zone_1", "bookings", func(w http.ResponseWriter, r *http.Request) {
		ledger.record(r)
		time.Sleep(7 * time.Second)
		hello(w, r)
	})
	f.waitReady(t)
	results := make(chan int, 1)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		results <- crew.callWithin(t, &http.Client{}, "POST", "deposits.example", "/b", "20000").status
	})
	time.Sleep(200 * time.Millisecond)
	crew.stop()
	is.Equal(<-results, http.StatusOK)
	is.Equal(ledger.count("/b"), 1)
}
