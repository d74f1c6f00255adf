package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { cases["lateping"] = playLatePing }

const (
	// servingTime is how long an upstream serves after its departure was acknowledged.
	servingTime = 13 * time.Second
	// killAfter is the time from the acknowledgement until the node's process is killed, and downTime until its next start.
	killAfter = 800 * time.Millisecond
	downTime  = 3500 * time.Millisecond
	// lateBy is the time from the acknowledgement until the ping arrives that was sent before.
	lateBy = 5 * time.Second
)

var errNotAcked = errors.New("a call that the case needs was not acknowledged")

// playLatePing lets an upstream leave with DELETE, whose node is then killed and started again. A ping that the upstream sent
// before arrives late.
func playLatePing(ctx context.Context, d *deployment, trouble bool) (bool, error) {
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
	if err := d.configure([]route{sheets, orders}, "bookings", "crews"); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	sleep(ctx, 2*contact)
	load, stopLoad := context.WithCancel(ctx)
	var clients conc.WaitGroup
	defer clients.Wait()
	defer stopLoad()
	for _, m := range d.machines {
		clients.Go(func() { d.sendSteadily(load, m) })
	}
	sleep(ctx, contact)

	leaving := upstreams[0]
	late := leaving.stopPings()
	if !leaving.m.tell(http.MethodDelete, leaving.id, nil) {
		return false, errNotAcked
	}
	acked := time.Now()
	d.record.printf("DELETE of %s acknowledged by %s", leaving.id, leaving.m.name)
	sleep(ctx, killAfter)
	leaving.m.signal(syscall.SIGKILL)
	<-leaving.m.ended
	sleep(ctx, downTime)
	if err := leaving.m.start(); err != nil {
		return false, err
	}
	restarted := time.Now()
	sleep(ctx, time.Until(acked.Add(lateBy)))
	if trouble {
		d.record.printf("the last ping before the DELETE of %s arrives: acknowledged %v", leaving.id, leaving.m.tell(http.MethodPut, leaving.id, late))
	}
	sleep(ctx, time.Until(acked.Add(servingTime)))
	leaving.end()
	sleep(ctx, 2*time.Second)
	count, cut := 0, 0
	for _, a := range leaving.list() {
		if a.at.Sub(acked) <= drain || a.at.Sub(restarted) <= contact {
			continue
		}
		count++
		if a.ended.IsZero() || a.dropped {
			cut++
		}
	}
	d.record.printf("requests that reached the upstream of %s later than %v after the acknowledgement, its node in touch: %d, of which %d were cut off by its end",
		leaving.m.name, drain, count, cut)
	return count > 0, nil
}

// stopPings ends the pings and returns the next one, which is sent and has not arrived yet.
func (u *upstream) stopPings() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silent = true
	body, _ := json.Marshal(map[string]any{ // strings and numbers always encode
		"address": u.m.appServer, "born": u.born.UnixMilli(),
		"info":   map[string]any{"service": u.m.service, "version": "v1", "zone": u.m.zone, "slots": u.slots},
		"status": map[string]any{"state": "ready", "sequence": u.sequence + 1, "cold-remaining": "0ms"},
	})
	return body
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
