package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// poisonPath crashes each upstream that begins to run it. It comes every poisonInterval.
	poisonPath     = "/lookups/hall/plan"
	poisonInterval = 3 * time.Second
	// poisonTime is how long the case lasts, and splitInterval the time between two configs.
	poisonTime    = 80 * time.Second
	splitInterval = 10 * time.Second
	// contactBound is the bound contact, and maxRetries the number of retries that the rule allows.
	contactBound = 3 * time.Second
	maxRetries   = 3
)

// poisonedRoutes lets a request come that crashes upstreams, while the operator splits the route of its path again and again.
func poisonedRoutes(d *deployment, trouble bool) (int, error) {
	f, err := startOrders(d, "zone-a", "zone-b", "zone-c")
	if err != nil {
		return failed, err
	}
	for _, u := range f.orders {
		u.mu.Lock()
		u.poison = poisonPath
		u.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(d.ctx, poisonTime)
	defer cancel()
	bookings := newClients(d.record, "b", clientBudget)
	bookings.group.Go(func() { bookings.load(ctx, 50*time.Millisecond, http.MethodPost, "/orders/", f.front) })
	poison := newClients(d.record, "p", clientBudget)
	poison.group.Go(func() { poison.load(ctx, poisonInterval, http.MethodGet, poisonPath, f.front) })
	for n := 1; trouble && ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-time.After(splitInterval):
			split := route{name: fmt.Sprintf("hall-%d", n), prefix: "/lookups/hall/", service: "orders", kind: "safe", timeout: "5s", attempts: 2}
			d.configure(7+n, append(slices.Clone(orderRoutes), split))
		}
	}
	<-ctx.Done()
	bookings.group.Wait()
	poison.group.Wait()
	return judgePoison(d, f.orders, bookings)
}

// judgePoison counts the attempts of the poisonous request that reached upstreams later than contact after the third crash.
func judgePoison(d *deployment, upstreams []*upstream, bookings *clients) (int, error) {
	var crashes []run
	for _, u := range upstreams {
		for _, r := range u.runsAfter(time.Time{}) {
			if r.path == poisonPath {
				crashes = append(crashes, r)
			}
		}
	}
	slices.SortFunc(crashes, func(a, b run) int { return a.began.Compare(b.began) })
	const third = 2
	if len(crashes) <= third {
		return failed, errors.New("the request didn't crash three upstreams")
	}
	retries := map[string]bool{}
	for _, r := range crashes {
		since := r.began.Sub(crashes[third].began)
		d.record.line("crash: %s, %.1f s after the third", r.id, since.Seconds())
		if since > contactBound {
			retries[r.id] = true
		}
	}
	d.record.say("bookings: %v", bookings.statuses())
	d.record.say("crashes: %d; attempts that reached upstreams later than %v after the third: %d, %d are allowed", len(crashes), contactBound, len(retries), maxRetries)
	if len(retries) > maxRetries {
		d.record.say("BUDGET is broken")
		return broken, nil
	}
	d.record.say("BUDGET held")
	return held, nil
}
