package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

func init() {
	cases["poison"] = playPoison
	cases["split"] = playSplit
}

const (
	// backAfter is the time from the crash of an upstream to its next start.
	backAfter = 2500 * time.Millisecond
	// poisonInterval is the time between two attempts of the client whose request crashes upstreams. On the split route, which
	// nothing else disturbs, it is splitInterval.
	poisonInterval = 3 * time.Second
	splitInterval  = 4 * time.Second
	poisonPath     = "/sheets/bad"
	// playTime is how long requests are sent.
	playTime = 85 * time.Second
	// rounds is how often all nodes beside the upstreams are stopped and started in turn.
	rounds = 3
	// maxPoisonRetries is how many retries may reach upstreams after the third crash.
	maxPoisonRetries = 3
)

// poisoned is a deployment to which a request comes again and again that crashes each upstream that begins to run it.
type poisoned struct {
	d         *deployment
	upstreams []*upstream
	begun     time.Time
	clients   conc.WaitGroup
	bookings  []*request

	mu      sync.Mutex
	crashes []time.Time
}

// startPoisoned starts machines of the services and, for clients, one more machine, which has no such upstream.
func startPoisoned(ctx context.Context, d *deployment, routes []route, services ...string) (*poisoned, error) {
	p := &poisoned{d: d}
	for _, service := range append(services, "crews") {
		m, err := d.addMachine(service)
		if err != nil {
			return nil, err
		}
		if err := p.addUpstream(m); err != nil {
			return nil, err
		}
	}
	if err := d.configure(routes, "bookings", "annex", "crews"); err != nil {
		return nil, err
	}
	if err := d.waitReady(); err != nil {
		return nil, err
	}
	sleep(ctx, 2*contact)
	return p, nil
}

// addUpstream starts an upstream that crashes when it begins to run the request, and is back after backAfter.
func (p *poisoned) addUpstream(m *machine) error {
	var u *upstream
	work := func(r *http.Request) (time.Duration, bool) {
		if r.URL.Path != poisonPath {
			return 700 * time.Millisecond, false
		}
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		p.mu.Unlock()
		p.d.group.Go(func() {
			if !sleep(p.d.ctx, backAfter) {
				return
			}
			if err := u.start(); err != nil {
				p.d.record.printf("upstream of %s doesn't start: %v", m.name, err)
			}
			u.ping()
		})
		return 0, true
	}
	u, err := m.newUpstream(36, work)
	p.upstreams = append(p.upstreams, u)
	return err
}

// send sends bookings, and lookups of the path at intervals, to the last machine until playTime has passed.
func (p *poisoned) send(ctx context.Context, path string, interval time.Duration) {
	entry := p.d.machines[len(p.d.machines)-1]
	p.begun = time.Now()
	p.clients.Go(func() {
		for time.Since(p.begun) < playTime && sleep(ctx, 100*time.Millisecond) {
			r := &request{method: http.MethodPost, host: "orders.example", path: "/orders/new", body: "one booking", budget: 5 * time.Second}
			p.bookings = append(p.bookings, r)
			p.clients.Go(func() { p.d.do(ctx, entry, r) })
		}
	})
	p.clients.Go(func() {
		for time.Since(p.begun) < playTime && sleep(ctx, interval) {
			p.d.do(ctx, entry, &request{method: http.MethodGet, host: "sheets.example", path: path, budget: 3 * time.Second})
		}
	})
}

// third returns the time of the third crash, if there was one.
func (p *poisoned) third() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 3 {
		return time.Time{}, false
	}
	return p.crashes[2], true
}

// isBroken waits until all is sent and reports whether more than maxPoisonRetries attempts of the request reached upstreams later
// than contact after the third crash. Upstreams of machines that aren't in touch don't count.
func (p *poisoned) isBroken(ctx context.Context, disturbances map[*machine][]time.Time) bool {
	sleep(ctx, time.Until(p.begun.Add(playTime)))
	p.clients.Wait()
	thirdAt, crashed := p.third()
	arrivals, attempts := 0, map[string]bool{}
	for _, u := range p.upstreams {
		for _, a := range u.list() {
			if !crashed || a.path != poisonPath || a.at.Sub(thirdAt) <= contact || !isInTouch(disturbances[u.m], a.at) {
				continue
			}
			arrivals++
			attempts[a.id] = true
		}
	}
	lost := 0
	for _, r := range p.bookings {
		if r.complete && r.status == http.StatusBadGateway || !r.complete {
			lost++
		}
	}
	p.d.record.printf("the request reached upstreams %d times, in %d attempts, later than %v after the third crash; crashes %d; bookings of which nobody knows whether they ran: %d of %d",
		arrivals, len(attempts), contact, len(p.crashes), lost, len(p.bookings))
	return len(attempts) > maxPoisonRetries
}

// orders is the route of the bookings.
var orders = route{
	Name: "orders", Host: "orders.example", Prefix: "/orders/", Kind: "non_idempotent", Timeout: "1500ms", Target: "4000ms", Priority: 2,
	Service: "bookings", MaxAttempts: 2,
}

// sheets is the route of the request that crashes upstreams.
var sheets = route{
	Name: "sheets", Host: "sheets.example", Prefix: "/sheets/", Kind: "safe", Timeout: "1500ms", Target: "1500ms", Priority: 1,
	Service: "bookings", MaxAttempts: 2,
}

// playPoison stops and starts the nodes one after the other, again and again, after the third crash.
func playPoison(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	p, err := startPoisoned(ctx, d, []route{sheets, orders}, "bookings", "bookings", "bookings")
	if err != nil {
		return false, err
	}
	p.send(ctx, poisonPath, poisonInterval)
	for {
		if _, ok := p.third(); ok || !sleep(ctx, 50*time.Millisecond) {
			break
		}
	}
	d.record.printf("third crash")
	disturbances := map[*machine][]time.Time{}
	for round := 0; trouble && round < rounds; round++ {
		sleep(ctx, 5*time.Second)
		for _, m := range d.machines[:3] {
			disturbances[m] = append(disturbances[m], time.Now())
			if err := m.terminate(); err != nil {
				return false, err
			}
			disturbances[m] = append(disturbances[m], time.Now())
			sleep(ctx, time.Second)
		}
	}
	return p.isBroken(ctx, disturbances), nil
}

// playSplit sends the request to a route that is split between two services. Without the trouble, the request crashes nothing.
func playSplit(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	split := sheets
	split.Service = ""
	split.Clusters = []cluster{{"bookings", 50}, {"annex", 50}}
	p, err := startPoisoned(ctx, d, []route{split, orders}, "bookings", "bookings", "annex", "annex")
	if err != nil {
		return false, err
	}
	path := poisonPath
	if !trouble {
		path = "/sheets/good"
	}
	p.send(ctx, path, splitInterval)
	return p.isBroken(ctx, nil), nil
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
