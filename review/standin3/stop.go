package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// frontMachines is the number of machines whose nodes are stopped, one after the other, and stops how many stops there are.
	frontMachines = 2
	stops         = 14
	// stopGap is the time from the end of a process to the stop of the next one.
	stopGap = time.Second
	// jobCalls is the number of calls of a job, one after the other.
	jobCalls  = 75
	jobBudget = 6 * time.Second
	// jobInterval is the time between two jobs of the clients of a machine.
	jobInterval = 250 * time.Millisecond
)

// chargeTime returns how long a charge takes: 30 ms, but 1 in 20 takes 700 ms, as where something isn't in a cache.
func chargeTime() time.Duration {
	const usual, rare, oneIn = 30 * time.Millisecond, 700 * time.Millisecond, 20
	if rand.IntN(oneIn) == 0 {
		return rare
	}
	return usual
}

// plannedStop stops the nodes of the front machines in turn, while their upstreams make calls through them.
func plannedStop(d *deployment, trouble bool) (int, error) {
	var fronts []*machine
	for n := range frontMachines {
		m, err := d.addMachine("zone-"+string(rune('a'+n)), "jobs")
		if err != nil {
			return failed, err
		}
		fronts = append(fronts, m)
	}
	var deep []*machine
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		m, err := d.addMachine(zone, "charges")
		if err != nil {
			return failed, err
		}
		deep = append(deep, m)
	}
	d.configure(7, []route{
		{name: "jobs", prefix: "/jobs/", service: "jobs", kind: "safe", timeout: "6s", attempts: 2},
		{name: "charges", prefix: "/charges/", service: "charges", kind: "non_idempotent", timeout: "6s", attempts: 2},
	})
	for _, m := range d.machines {
		if err := d.startNode(m); err != nil {
			return failed, err
		}
	}
	calls := newClients(d.record, "k", jobBudget)
	for _, m := range fronts {
		u := &upstream{record: d.record, machine: m, service: m.service, id: "i-" + m.name, slots: upstreamSlots}
		u.work = func() time.Duration { return 10 * time.Millisecond }
		u.calls = func(deadline time.Time) {
			for range jobCalls {
				left := time.Until(deadline).Truncate(time.Millisecond)
				if left < 10*time.Millisecond {
					return
				}
				calls.sendWithin(m, http.MethodPost, "/charges/", left)
			}
		}
		if err := d.startUpstream(u, time.Now()); err != nil {
			return failed, err
		}
	}
	var chargers []*upstream
	for _, m := range deep {
		u := &upstream{record: d.record, machine: m, service: m.service, id: "i-" + m.name, slots: upstreamSlots, work: chargeTime}
		if err := d.startUpstream(u, time.Now()); err != nil {
			return failed, err
		}
		chargers = append(chargers, u)
	}
	if err := d.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(2 * heartbeat)
	jobs := newClients(d.record, "j", jobBudget)
	for _, m := range fronts {
		jobs.group.Go(func() { jobs.loadWhileReady(d.ctx, jobInterval, http.MethodGet, "/jobs/", m) })
	}
	time.Sleep(6 * time.Second)
	var stopped []stop
	for n := range stops {
		m := fronts[n%len(fronts)]
		s := stop{machine: m, at: time.Now()}
		stopped = append(stopped, s)
		if !trouble {
			time.Sleep(graceBound) // about as long as a stop with its gap
			continue
		}
		m.signal(syscall.SIGTERM)
		kill := time.AfterFunc(graceBound, func() { _ = m.process.Process.Kill() })
		m.wait()
		kill.Stop()
		if err := d.startNode(m); err != nil {
			return failed, err
		}
		time.Sleep(stopGap)
	}
	return judgeStops(d, stopped, calls, jobs, chargers)
}

// stop is a planned stop of a node.
type stop struct {
	machine *machine
	at      time.Time
}

// judgeStops looks for calls that a node had passed on and that ended, within the grace time after its SIGTERM, with an answer of the
// node or none while their upstream was at work.
func judgeStops(d *deployment, stops []stop, calls, jobs *clients, chargers []*upstream) (int, error) {
	runs := map[string]run{}
	for _, u := range chargers {
		for _, r := range u.runsAfter(time.Time{}) {
			runs[r.id] = r
		}
	}
	calls.mu.Lock()
	defer calls.mu.Unlock()
	cut, excused := 0, 0
	for _, s := range stops {
		for _, x := range calls.results {
			since := x.sent.Sub(s.at)
			ended := x.ended.Sub(s.at)
			if x.via != s.machine || since < 0 || x.ended.IsZero() || ended > graceBound+time.Second || x.signed {
				continue
			}
			r, ran := runs[x.id]
			atWork := ran && r.began.Before(x.ended) && (r.ended.IsZero() || r.ended.After(x.ended.Add(-5*time.Millisecond)))
			if !atWork || x.ended.Sub(x.sent) >= x.budget-50*time.Millisecond {
				continue
			}
			d.record.line("cut: %s was sent %.3f s after the SIGTERM of %s and ended at %.3f s with %d, while its upstream was at work for %.3f s: %s %v",
				x.id, since.Seconds(), s.machine.name, ended.Seconds(), x.status, x.ended.Sub(r.began).Seconds(), x.by, x.err)
			if since <= 3*time.Second && ended >= graceBound*5/6 {
				excused++
				continue
			}
			cut++
		}
	}
	if len(runs) == 0 {
		return failed, errors.New("no charge ran")
	}
	counts := map[string]int{}
	for _, x := range calls.results {
		counts[strings.TrimSpace(x.method)+" "+http.StatusText(x.status)]++
	}
	d.record.say("calls: %v; jobs: %v", counts, jobs.statuses())
	d.record.say("charges that ran and were broken off by the node that was stopping: %d, and %d that the rule excuses", cut, excused)
	if cut > 0 {
		d.record.say("LOST is broken")
		return broken, nil
	}
	d.record.say("LOST held")
	return held, nil
}

// loadWhileReady is like load, but sends nothing while the node of the machine isn't ready: two questions in a row without a 200 take
// it out.
func (c *clients) loadWhileReady(ctx context.Context, interval time.Duration, method, path string, m *machine) {
	misses, asked := 0, time.Time{}
	for ctx.Err() == nil {
		if time.Since(asked) >= time.Second {
			asked = time.Now()
			misses++
			if isReady(m) {
				misses = 0
			}
		}
		if misses < 2 {
			c.group.Go(func() { c.send(m, method, path) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func isReady(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
