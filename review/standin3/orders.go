package main

import "time"

// orderRoutes are the routes of a service that takes orders and answers lookups.
var orderRoutes = []route{
	{name: "lookups", prefix: "/lookups/", service: "orders", kind: "safe", timeout: "5s", attempts: 2},
	{name: "orders", prefix: "/orders/", service: "orders", kind: "non_idempotent", timeout: "5s", attempts: 2},
}

// clientBudget is the time budget of the clients.
const clientBudget = 5 * time.Second

// workTime is how long a request takes.
func workTime() time.Duration { return 20 * time.Millisecond }

// orderFleet is a front service, through whose node the clients send, and the upstreams of the service orders.
type orderFleet struct {
	front  *machine
	orders []*upstream
}

// startOrders starts all machines, with an upstream of the service orders in each of the zones, and returns when the nodes are ready and know each other.
func startOrders(d *deployment, zones ...string) (*orderFleet, error) {
	front, err := d.addMachine("zone-a", "front")
	if err != nil {
		return nil, err
	}
	f := &orderFleet{front: front}
	for _, zone := range zones {
		if _, err := d.addMachine(zone, "orders"); err != nil {
			return nil, err
		}
	}
	d.configure(7, orderRoutes)
	for _, m := range d.machines {
		if err := d.startNode(m); err != nil {
			return nil, err
		}
	}
	for _, m := range d.machines {
		u := &upstream{record: d.record, machine: m, service: m.service, id: "i-" + m.name, slots: upstreamSlots, work: workTime}
		if err := d.startUpstream(u, time.Now()); err != nil {
			return nil, err
		}
		if m != front {
			f.orders = append(f.orders, u)
		}
	}
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(2 * heartbeat)
	return f, nil
}
