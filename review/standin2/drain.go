package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

var errNotAcked = errors.New("a call that the case needs was not acknowledged")

// servingTime is how long the upstream serves after its departure was acknowledged.
const servingTime = 8 * time.Second

// leave lets the upstream report that it drains, serve for servingTime after the acknowledgement, and end. It reports whether
// requests reached it later than drain after the acknowledgement.
func (d *deployment) leave(ctx context.Context, u *upstream) (bool, error) {
	u.mu.Lock()
	u.state = "draining"
	id := u.id
	u.mu.Unlock()
	if !u.ping() {
		return false, errNotAcked
	}
	acked := time.Now()
	d.record.printf("the report that %s drains is acknowledged by %s", id, u.m.name)
	sleep(ctx, servingTime)
	u.end()
	sleep(ctx, 2*time.Second)
	return d.checkDrain(u, acked), nil
}

// checkDrain reports whether requests reached the upstream later than drain after the acknowledgement that it leaves.
func (d *deployment) checkDrain(u *upstream, acked time.Time) bool {
	late, cut := 0, 0
	for _, a := range u.list() {
		if a.at.Sub(acked) <= drain {
			continue
		}
		late++
		if a.ended.IsZero() || a.dropped {
			cut++
		}
	}
	d.record.printf("requests that reached %s later than %v after the acknowledgement: %d, of which %d were cut off by its end", u.m.name, drain, late, cut)
	return late > 0
}

// sendSteadily sends requests to the machine until the context ends, two thirds of them lookups.
func (d *deployment) sendSteadily(ctx context.Context, m *machine) {
	var group conc.WaitGroup
	defer group.Wait()
	for n := 0; sleep(ctx, 150*time.Millisecond); n++ {
		r := &request{method: http.MethodGet, host: "sheets.example", path: "/sheets/today", budget: 5 * time.Second}
		if n%3 == 0 {
			r = &request{method: http.MethodPost, host: "orders.example", path: "/orders/new", body: "one booking", budget: 5 * time.Second}
		}
		group.Go(func() { d.do(context.WithoutCancel(ctx), m, r) })
	}
}
