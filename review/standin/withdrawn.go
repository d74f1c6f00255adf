package main

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runWithdrawn lets an upstream withdraw, as upstreams do that never report draining. After the acknowledgement, a ping of
// another writer arrives: it names the upstream, but lacks the fields that say which start it belongs to. Clients go on
// sending requests. The upstream serves for some seconds more and exits.
func runWithdrawn(record *recorder, trouble bool) (bool, error) {
	const (
		interval  = 20 * time.Millisecond
		budget    = 3 * time.Second
		serveTime = 6 * time.Second
		workTime  = 200 * time.Millisecond
		// foreignAfter is when the foreign ping arrives, after the acknowledgement.
		foreignAfter = time.Second
	)
	var mu sync.Mutex
	var withdrawnAt time.Time
	late, ran := 0, map[string]bool{}
	var leaving *upstream
	handler := func(u *upstream) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(idHeader)
			mu.Lock()
			ran[id] = true
			since := time.Since(withdrawnAt)
			isLate := u == leaving && !withdrawnAt.IsZero() && since > drainBound
			if isLate {
				late++
			}
			mu.Unlock()
			if u == leaving && !withdrawnAt.IsZero() {
				record.note("upstream %s runs %s, %.3f s after its withdrawal was acknowledged", u.id, id, since.Seconds())
			} else {
				record.note("upstream %s runs %s", u.id, id)
			}
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(workTime)
			writeAnswer(w, id, 400)
		}
	}
	d, err := newDeployment(record, []string{"crew", "orders", "orders"}, handler)
	if err != nil {
		return false, err
	}
	defer d.stop()
	leaving = d.machines[1].upstream
	if err := d.configure(5, []route{ordersRoute("3000ms", 2)}); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var calls []*call
	stop := make(chan struct{})
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			c := newCall(http.MethodPost, "/orders/"+strconv.Itoa(n), budget)
			c.body = "order " + c.id
			calls = append(calls, c)
			group.Go(func() { exchange(d.machines[0], ordersHost, 0, c) })
		}
	})
	time.Sleep(time.Second)
	leaving.silent.Store(true) // its pings end with the withdrawal
	time.Sleep(2 * beatInterval)
	status := leaving.call(http.MethodDelete, nil)
	mu.Lock()
	withdrawnAt = time.Now()
	mu.Unlock()
	record.note("DELETE /instances/%s: %d", leaving.id, status)
	if trouble {
		time.Sleep(foreignAfter)
		foreign := map[string]any{
			"address": leaving.machine.address(appPort),
			"info":    map[string]any{"service": leaving.machine.service, "slots": upstreamSlots},
			"status":  map[string]any{"state": "ready"},
		}
		record.note("a foreign ping for %s, without born, sequence, zone and version: %d", leaving.id, leaving.call(http.MethodPut, foreign))
	}
	time.Sleep(time.Until(withdrawnAt.Add(serveTime)))
	record.note("upstream %s exits", leaving.id)
	leaving.exit()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	group.Wait()
	byEnd, lost := map[string]int{}, 0
	for _, c := range calls {
		end := "no answer"
		if c.complete {
			end = strconv.Itoa(c.status)
		}
		byEnd[end]++
		if end != "200" && ran[c.id] {
			lost++
		}
		record.note("client: %v", c)
	}
	record.say("%d orders, answers %v; %d began to run and were not answered with success", len(calls), byEnd, lost)
	record.say("%d orders reached the upstream later than %s after its withdrawal was acknowledged", late, drainBound)
	return late > 0, nil
}
