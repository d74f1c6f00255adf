package main

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runTwice loses answers of one of the three upstreams that run orders, for four seconds. The operator's configuration has a route for orders and,
// under a longer prefix, one for lookups. Half of the orders have an encoded slash in their path, as a name with a slash
// has: with the slash decoded, the path would begin with the prefix of the lookups.
func runTwice(record *recorder, trouble bool) (bool, error) {
	const (
		orders   = 100
		interval = 40 * time.Millisecond
		budget   = 4 * time.Second
		workTime = 100 * time.Millisecond
		// Of lostCycle answers lostCount are lost.
		lostCount, lostCycle = 2, 5
	)
	var mu sync.Mutex
	runs := map[string]int{}
	losing := map[*upstream]int{}
	handler := func(u *upstream) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get(idHeader)
			mu.Lock()
			runs[id]++
			record.note("upstream %s runs %s %s %s, for the %d. time", u.id, id, r.Method, r.RequestURI, runs[id])
			isLost := false
			if handled, loses := losing[u]; loses {
				losing[u]++
				isLost = trouble && handled%lostCycle < lostCount
			}
			mu.Unlock()
			time.Sleep(workTime)
			if isLost {
				record.note("upstream %s has run %s, and its answer is lost", u.id, id)
				panic(http.ErrAbortHandler)
			}
			writeAnswer(w, id, 400)
		}
	}
	d, err := newDeployment(record, []string{"crew", "orders", "orders", "orders"}, handler)
	if err != nil {
		return false, err
	}
	defer d.stop()
	losing[d.machines[3].upstream] = 0
	lookups := ordersRoute("4000ms", 2)
	lookups.Name, lookups.Prefix, lookups.Kind = "r-lookups", "/orders/palace/", "safe"
	if err := d.configure(5, []route{ordersRoute("4000ms", 2), lookups}); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	var calls []*call
	var group sync.WaitGroup
	for n := range orders {
		path := "/orders/palace-" + strconv.Itoa(n)
		if n%2 == 0 {
			path = "/orders/palace%2F" + strconv.Itoa(n)
		}
		c := newCall(http.MethodPost, path, budget)
		c.body = "order " + c.id
		calls = append(calls, c)
		group.Go(func() { exchange(d.machines[0], ordersHost, 0, c) })
		time.Sleep(interval)
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice, twiceEncoded := 0, 0
	for _, c := range calls {
		record.note("client: %v; it ran %d times", c, runs[c.id])
		if runs[c.id] < 2 {
			continue
		}
		twice++
		if strings.Contains(c.path, "%2F") {
			twiceEncoded++
		}
	}
	record.say("%d of %d orders ran more than once; %d of these have an encoded slash in their path", twice, len(calls), twiceEncoded)
	return twice > 0, nil
}
