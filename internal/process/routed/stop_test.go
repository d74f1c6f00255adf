package routed_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
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
	orders := newOrders(ledger)
	orders.send(t, stopping, kept, "/long", 20*time.Second)
	time.Sleep(300 * time.Millisecond)
	stopping.stop()
	for n := range 22 { // until 5.5 s after the stop; the grace time is 6 s
		time.Sleep(250 * time.Millisecond)
		orders.send(t, stopping, kept, fmt.Sprintf("/kept/%d", n), 20*time.Second)
		orders.send(t, stopping, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, fmt.Sprintf("/new/%d", n), 20*time.Second)
		orders.send(t, other, &http.Client{}, fmt.Sprintf("/other/%d", n), 20*time.Second)
	}
	is.Equal(orders.countCut(t), 0)
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

// Guards against a running request that fails because its node, in a planned stop, no longer takes the calls that it makes.
func TestRunningRequestMakesItsCallsUntilTheEndOfADrain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, patientServices())
	var crew *testNode
	callAfter := func(wait time.Duration, r *http.Request) int {
		left, err := strconv.Atoi(r.Header.Get("Time-Left"))
		if err != nil {
			return http.StatusBadRequest
		}
		deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
		time.Sleep(wait)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		remaining := strconv.FormatInt(time.Until(deadline).Milliseconds(), 10)
		return crew.callWithin(t, client, "POST", "deposits.example", "/called", remaining).status
	}
	crew = f.add(t, "zone_1", "crew", func(w http.ResponseWriter, r *http.Request) {
		wait, err := time.ParseDuration(strings.TrimPrefix(r.URL.Path, "/"))
		is.NoErr(err)
		w.WriteHeader(callAfter(wait, r))
	})
	other := f.add(t, "zone_1", "bookings", hello)
	f.waitReady(t)
	for n := range 10 { // the node learns which requests are calls
		is.Equal(other.callWithin(t, &http.Client{}, "GET", "sheets.example", fmt.Sprintf("/%dms", 10*n+10), "20000").status, http.StatusOK)
	}
	results := make(chan int, 1)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		results <- other.callWithin(t, &http.Client{}, "GET", "sheets.example", "/3500ms", "20000").status
	})
	time.Sleep(200 * time.Millisecond)
	crew.stop()
	is.Equal(<-results, http.StatusOK)
}

// Guards against a request that is taken in a planned stop although requests like it take longer than the node has left.
func TestLongRequestIsNotTakenInAPlannedStop(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, patientServices())
	ledger := newRunLedger()
	crew := f.add(t, "zone_1", "crew", hello)
	f.add(t, "zone_1", "bookings", func(w http.ResponseWriter, r *http.Request) {
		ledger.record(r)
		time.Sleep(4500 * time.Millisecond)
		hello(w, r)
	})
	f.waitReady(t)
	is.Equal(crew.callWithin(t, &http.Client{}, "POST", "deposits.example", "/before", "20000").status, http.StatusOK)
	crew.stop()
	time.Sleep(time.Second)
	status := crew.callWithin(t, &http.Client{}, "POST", "deposits.example", "/after", "20000").status
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(ledger.count("/after"), 0)
}
