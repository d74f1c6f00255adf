package main

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { cases["born"] = playBorn }

const (
	// clockStep is by how much the time of day of a machine jumps.
	clockStep = 2 * time.Second
	// shortLife is the time from the first start of an upstream until it crashes, and shortPause that until its next start.
	shortLife  = 800 * time.Millisecond
	shortPause = 700 * time.Millisecond
)

// playBorn lets an upstream crash soon after its start and start again under the id that it had. Meanwhile the time of day of
// its machine, which was ahead, jumps back. Later the upstream leaves.
func playBorn(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	var upstreams []*upstream
	for _, service := range []string{"bookings", "bookings", "bookings", "crews"} {
		m, err := d.addMachine(service)
		if err != nil {
			return false, err
		}
		u, err := m.newUpstream(36, func(*http.Request) (time.Duration, bool) { return 300 * time.Millisecond, false })
		if err != nil {
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
	sleep(ctx, contact)
	load, stopLoad := context.WithCancel(ctx)
	var clients conc.WaitGroup
	defer clients.Wait()
	defer stopLoad()
	for _, m := range d.machines {
		clients.Go(func() { d.sendSteadily(load, m) })
	}
	sleep(ctx, contact)

	// The time of day of the machine jumps ahead, the upstream starts anew, and the time of day jumps back.
	restarting := upstreams[0]
	id := restarting.id
	restarting.end()
	sleep(ctx, shortPause)
	if trouble {
		restarting.setClock(clockStep)
	}
	if err := restarting.startAs(id); err != nil {
		return false, err
	}
	restarting.ping()
	sleep(ctx, shortLife)
	restarting.setClock(0)
	restarting.end()
	sleep(ctx, shortPause)
	if err := restarting.startAs(id); err != nil {
		return false, err
	}
	restarting.ping()
	sleep(ctx, 2*contact+2*time.Second)
	return d.leave(ctx, restarting)
}

// setClock sets how far the time of day of the upstream's machine is ahead.
func (u *upstream) setClock(ahead time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.clockOffset = ahead
	u.m.d.record.printf("the time of day of the machine of %s is %v ahead", u.m.name, ahead)
}
