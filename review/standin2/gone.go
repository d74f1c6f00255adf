package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { cases["gone"] = playGone }

const (
	// lateAfter is how long after a client has left an upstream may still work for it.
	lateAfter = 500 * time.Millisecond
	// searchTime is how long an upstream works on a request, and leaveAfter how long the clients that leave wait.
	searchTime = 2500 * time.Millisecond
	leaveAfter = 600 * time.Millisecond
	// leaveEvery is the number of clients of which one leaves.
	leaveEvery = 4
)

// playGone sends lookups, each on a connection of its own that the client says to be for one request. Some of the clients leave
// before their time budget.
func playGone(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	var upstreams []*upstream
	for _, service := range []string{"rooms", "rooms", "crews"} {
		m, err := d.addMachine(service)
		if err != nil {
			return false, err
		}
		u, err := m.newUpstream(36, func(*http.Request) (time.Duration, bool) { return searchTime, false })
		if err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
	}
	err := d.configure([]route{{"search", "search.example", "/search/", "safe", "5000ms", "4000ms", 1, "rooms", 2}}, "rooms", "crews")
	if err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	sleep(ctx, 2*contact)
	requests := map[string]*request{}
	var clients conc.WaitGroup
	for n := range 300 {
		r := &request{
			id: fmt.Sprintf("search-%03d", n), method: http.MethodGet, host: "search.example", path: "/search/free", budget: 5 * time.Second, isLast: true,
		}
		if n%leaveEvery == 0 && trouble {
			r.leave = leaveAfter
		}
		requests[r.id] = r
		clients.Go(func() { d.do(ctx, d.machines[n%len(d.machines)], r) })
		sleep(ctx, 60*time.Millisecond)
	}
	clients.Wait()
	sleep(ctx, 2*searchTime)
	lasting, working := 0, 0
	for _, u := range upstreams {
		for _, a := range u.list() {
			r := requests[a.id]
			if r == nil || !r.left || a.at.Add(searchTime).Sub(r.ended) <= lateAfter {
				continue
			}
			lasting++
			if a.ended.Sub(r.ended) > lateAfter {
				working++
			}
		}
	}
	d.record.printf("lookups whose client left and that would last over %v longer: %d; an upstream worked so long on %d", lateAfter, lasting, working)
	return working*4 > lasting, nil
}
