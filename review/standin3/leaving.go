package main

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// leavingRoutes are the routes of the cases in which an upstream leaves.
var leavingRoutes = []route{
	{name: "lookups", prefix: "/lookups/", service: "orders", kind: "safe", timeout: "5s", attempts: 2},
	{name: "orders", prefix: "/orders/", service: "orders", kind: "non_idempotent", timeout: "5s", attempts: 2},
}

const (
	// clientBudget is the time budget of the clients.
	clientBudget = 5 * time.Second
	// serveOn is how long an upstream that leaves serves on after the acknowledgement: drain, and a little longer.
	serveOn = drainBound + 6*time.Second
)

// workTime is how long a request takes.
func workTime() time.Duration { return 300 * time.Millisecond }

var errNotAcknowledged = errors.New("the departure wasn't acknowledged")

// leavingFleet is a front service, through whose nodes the clients send, and two upstreams of the service orders, one of which
// leaves.
type leavingFleet struct {
	front, leaver, stayer *machine
	staying               *upstream
	clients               *clients
	stopLoad              context.CancelFunc
}

// startLeavingFleet starts all machines and all upstreams but the one that leaves.
func startLeavingFleet(d *deployment) (*leavingFleet, error) {
	f := &leavingFleet{}
	for _, m := range []struct {
		machine       **machine
		zone, service string
	}{{&f.front, "zone-a", "front"}, {&f.leaver, "zone-a", "orders"}, {&f.stayer, "zone-b", "orders"}} {
		added, err := d.addMachine(m.zone, m.service)
		if err != nil {
			return nil, err
		}
		*m.machine = added
	}
	d.configure(7, leavingRoutes)
	for _, m := range d.machines {
		if err := d.startNode(m); err != nil {
			return nil, err
		}
	}
	if _, err := d.addUpstream(f.front, "i-front", workTime, time.Now()); err != nil {
		return nil, err
	}
	staying, err := d.addUpstream(f.stayer, "i-stays", workTime, time.Now())
	f.staying = staying
	return f, err
}

// beginLoad begins to send lookups and orders through the nodes of the front and of the upstream that stays.
func (f *leavingFleet) beginLoad(d *deployment) {
	ctx, cancel := context.WithCancel(d.ctx)
	f.stopLoad = cancel
	f.clients = newClients(d.record, "c", clientBudget)
	f.clients.group.Go(func() { f.clients.load(ctx, 40*time.Millisecond, http.MethodGet, "/lookups/", f.front, f.stayer) })
	f.clients.group.Go(func() { f.clients.load(ctx, 80*time.Millisecond, http.MethodPost, "/orders/", f.front, f.stayer) })
}

// judge checks that nothing reached the upstream later than the bound after it was acknowledged that it leaves, and counts what
// its end broke off.
func (f *leavingFleet) judge(d *deployment, u *upstream, acked time.Time) int {
	f.stopLoad()
	f.clients.group.Wait()
	late := u.runsAfter(acked.Add(drainBound))
	orders, brokenOff := 0, 0
	for _, r := range late {
		if r.method == http.MethodPost {
			orders++
		}
		if r.ended.IsZero() {
			brokenOff++
		}
	}
	d.record.say("statuses: %v", f.clients.statuses())
	d.record.say("requests that reached %s later than %v after the acknowledgement: %d, orders among them: %d", u.id, drainBound, len(late), orders)
	for _, r := range late {
		d.record.line("late: %s %s, %.3f s after the acknowledgement", r.id, r.method, r.began.Sub(acked).Seconds())
	}
	if len(late) > 0 {
		d.record.say("DRAIN is broken")
		return broken
	}
	d.record.say("DRAIN held")
	return held
}

// missingStart lets a withdrawn upstream be followed by a ping of another writer in which the field born is missing.
func missingStart(d *deployment, trouble bool) (int, error) {
	f, err := startLeavingFleet(d)
	if err != nil {
		return failed, err
	}
	u, err := d.addUpstream(f.leaver, "i-leaves", workTime, time.Now())
	if err != nil {
		return failed, err
	}
	if err := d.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(2 * heartbeat)
	f.beginLoad(d)
	time.Sleep(4 * time.Second)
	if len(u.runsAfter(time.Time{})) == 0 {
		return failed, errors.New("the upstream got no requests before it left")
	}
	acked, ok := u.withdraw()
	if !ok {
		return failed, errNotAcknowledged
	}
	d.record.say("%s sent DELETE, which was acknowledged", u.id)
	time.Sleep(drainBound + 500*time.Millisecond)
	if trouble {
		u.mu.Lock()
		u.sequence++
		body := u.pingBody()
		u.mu.Unlock()
		delete(body, "born")
		d.record.say("a ping of another writer for %s, without born: acknowledged %v", u.id, u.send(http.MethodPut, body))
	}
	time.Sleep(time.Until(acked.Add(serveOn)))
	u.end("it has served on and exits")
	time.Sleep(time.Second)
	return f.judge(d, u, acked), nil
}

// clockStep lets an upstream start, end and start again under its id while the clock of its machine goes back.
func clockStep(d *deployment, trouble bool) (int, error) {
	const (
		step = 2 * time.Second
		// lifeTime is how long the first start lasts, and downTime the time to the second one.
		lifeTime = 500 * time.Millisecond
		downTime = time.Second
	)
	f, err := startLeavingFleet(d)
	if err != nil {
		return failed, err
	}
	if err := d.awaitReady(); err != nil {
		return failed, err
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = step
		d.record.say("the clock of the machine of the upstream is ahead by %v", ahead)
	}
	u, err := d.addUpstream(f.leaver, "i-leaves", workTime, time.Now().Add(ahead))
	if err != nil {
		return failed, err
	}
	time.Sleep(lifeTime)
	u.end("crash")
	time.Sleep(downTime)
	if trouble {
		d.record.say("the clock of the machine of the upstream has gone back")
	}
	if err := u.start(time.Now()); err != nil {
		return failed, err
	}
	if !u.ping() {
		return failed, errors.New("a ping wasn't acknowledged")
	}
	time.Sleep(2 * heartbeat)
	f.beginLoad(d)
	time.Sleep(contactBound + 3*time.Second)
	if len(u.runsAfter(time.Time{})) == 0 {
		return failed, errors.New("the upstream got no requests before it left")
	}
	acked, ok := u.drain()
	if !ok {
		return failed, errNotAcknowledged
	}
	d.record.say("%s reported draining, which was acknowledged", u.id)
	time.Sleep(time.Until(acked.Add(serveOn)))
	u.pinging.Store(false)
	u.send(http.MethodDelete, map[string]any{"born": u.born})
	u.end("it has served on and exits")
	time.Sleep(time.Second)
	return f.judge(d, u, acked), nil
}
