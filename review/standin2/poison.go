package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { cases["poison"] = playPoison }

const (
	// backAfter is the time from the crash of an upstream to its next start.
	backAfter = 2500 * time.Millisecond
	// poisonInterval is the time between two attempts of the client whose request crashes upstreams.
	poisonInterval = 4 * time.Second
	poisonPath     = "/sheets/bad"
	// playTime is how long requests are sent.
	playTime = 85 * time.Second
	// maxPoisonRetries is how many retries may reach upstreams after the third crash.
	maxPoisonRetries = 3
)

// playPoison sends a request that crashes each upstream again and again, and bookings beside it. After the third crash, the
// nodes are stopped and started one after the other.
func playPoison(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	var upstreams []*upstream
	var mu sync.Mutex
	var crashes []time.Time
	for _, service := range []string{"bookings", "bookings", "bookings", "crews"} {
		m, err := d.addMachine(service)
		if err != nil {
			return false, err
		}
		var u *upstream
		work := func(r *http.Request) (time.Duration, bool) {
			if r.URL.Path != poisonPath {
				return 700 * time.Millisecond, false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			d.group.Go(func() {
				if sleep(d.ctx, backAfter) {
					if err := u.start(); err != nil {
						d.record.printf("upstream of %s doesn't start: %v", m.name, err)
					}
					u.ping()
				}
			})
			return 0, true
		}
		if u, err = m.newUpstream(36, work); err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
	}
	err := d.configure([]route{
		{"sheets", "sheets.example", "/sheets/", "safe", "1500ms", "1500ms", 1, "bookings", 2},
		{"orders", "orders.example", "/orders/", "non_idempotent", "1500ms", "4000ms", 2, "bookings", 2},
	}, "bookings", "crews")
	if err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	sleep(ctx, 2*contact)
	entry := d.machines[3]
	begun := time.Now()
	var clients conc.WaitGroup
	var bookings []*request
	clients.Go(func() {
		for time.Since(begun) < playTime && sleep(ctx, 100*time.Millisecond) {
			r := &request{method: http.MethodPost, host: "orders.example", path: "/orders/new", body: "one booking", budget: 5 * time.Second}
			bookings = append(bookings, r)
			clients.Go(func() { d.do(ctx, entry, r) })
		}
	})
	clients.Go(func() {
		for time.Since(begun) < playTime && sleep(ctx, poisonInterval) {
			d.do(ctx, entry, &request{method: http.MethodGet, host: "sheets.example", path: poisonPath, budget: 3 * time.Second})
		}
	})
	third := func() (time.Time, bool) {
		mu.Lock()
		defer mu.Unlock()
		if len(crashes) < 3 {
			return time.Time{}, false
		}
		return crashes[2], true
	}
	touched := map[*machine][]time.Time{} // the times of disturbances of each machine
	for {
		if _, ok := third(); ok || !sleep(ctx, 50*time.Millisecond) {
			break
		}
	}
	thirdAt, _ := third()
	d.record.printf("third crash")
	if trouble {
		for range 2 {
			sleep(ctx, 5*time.Second)
			for _, m := range d.machines[:3] {
				touched[m] = append(touched[m], time.Now())
				if err := m.terminate(); err != nil {
					return false, err
				}
				touched[m] = append(touched[m], time.Now())
				sleep(ctx, time.Second)
			}
			sleep(ctx, 10*time.Second)
		}
	}
	sleep(ctx, time.Until(begun.Add(playTime)))
	clients.Wait()

	arrivals, attempts := 0, map[string]bool{}
	for _, u := range upstreams {
		for _, a := range u.list() {
			if a.path != poisonPath || a.at.Sub(thirdAt) <= contact || !isInTouch(touched[u.m], a.at) {
				continue
			}
			arrivals++
			attempts[a.id] = true
		}
	}
	lost := 0
	for _, r := range bookings {
		if r.complete && r.status == http.StatusBadGateway || !r.complete {
			lost++
		}
	}
	d.record.printf("the request reached upstreams %d times, in %d attempts, later than %v after the third crash; crashes %d; bookings of which nobody knows whether they ran: %d of %d",
		arrivals, len(attempts), contact, len(crashes), lost, len(bookings))
	return len(attempts) > maxPoisonRetries, nil
}

// isInTouch reports whether the machine had no disturbance for contact before the moment: it was neither being stopped nor
// started. The times are those of the SIGTERM and of the next start, in turns.
func isInTouch(times []time.Time, at time.Time) bool {
	for n := 0; n < len(times); n += 2 {
		end := at.Add(time.Hour)
		if n+1 < len(times) {
			end = times[n+1].Add(contact)
		}
		if at.After(times[n]) && at.Before(end) {
			return false
		}
	}
	return true
}
