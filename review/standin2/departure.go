package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { cases["departure"] = playDeparture }

// playDeparture lets an upstream leave with DELETE. Then another writer sends a ping without the field born for it.
func playDeparture(ctx context.Context, d *deployment, trouble bool) (bool, error) {
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
	leaving.mu.Lock()
	leaving.silent = true
	id, sequence := leaving.id, leaving.sequence+1
	leaving.mu.Unlock()
	if !leaving.m.tell(http.MethodDelete, id, nil) {
		return false, errNotAcked
	}
	acked := time.Now()
	d.record.printf("DELETE of %s acknowledged by %s", id, leaving.m.name)
	sleep(ctx, time.Second)
	if trouble {
		body, _ := json.Marshal(map[string]any{ // strings and numbers always encode
			"address": leaving.m.appServer,
			"info":    map[string]any{"service": "bookings", "zone": leaving.m.zone, "slots": leaving.slots},
			"status":  map[string]any{"state": "ready", "sequence": sequence},
		})
		d.record.printf("another writer pings for %s without born, version and cold-remaining: acknowledged %v", id, leaving.m.tell(http.MethodPut, id, body))
	}
	sleep(ctx, time.Until(acked.Add(servingTime)))
	leaving.end()
	sleep(ctx, 2*time.Second)
	return d.checkDrain(leaving, acked), nil
}
