package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// leaveRatio is the share of the clients that leave, and leaveAfter the time after which they do.
	leaveRatio = 0.3
	leaveAfter = 300 * time.Millisecond
	// lookupTime is how long a lookup takes, and goneBound the time after which no upstream may still be at work for a client that has
	// left.
	lookupTime = 2 * time.Second
	goneBound  = 500 * time.Millisecond
	goneTime   = 15 * time.Second
)

// leavers sends lookups whose clients may leave, on kept connections and on new ones.
type leavers struct {
	d      *deployment
	group  sync.WaitGroup
	mu     sync.Mutex
	left   map[string]time.Time
	closes map[string]bool
}

// send sends a lookup on a connection of its own, which its client closes when it leaves. The client may say that it keeps no
// connection open.
func (l *leavers) send(m *machine, id string, says, leaves bool) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), clientBudget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.outbound+"/lookups/"+id, http.NoBody)
	if err != nil {
		return
	}
	r.Host, r.Close = host, says
	r.Header.Set(idHeader, id)
	r.Header.Set(deadlineHeader, strconv.FormatInt(clientBudget.Milliseconds(), 10))
	if leaves {
		defer time.AfterFunc(leaveAfter, func() {
			l.mu.Lock()
			l.left[id], l.closes[id] = time.Now(), says
			l.mu.Unlock()
			l.d.record.line("the client of %s closes its connection", id)
			cancel()
		}).Stop()
	}
	l.d.record.line("client sends %s to %s, Connection: close %v", id, m.name, says)
	response, err := transport.RoundTrip(r)
	if err != nil {
		l.d.record.line("client gets nothing for %s: %v", id, err)
		return
	}
	_ = response.Body.Close()
	l.d.record.line("client gets %d for %s", response.StatusCode, id)
}

// clientsLeave lets clients leave before their time budget, half of them on connections that they say they don't keep.
func clientsLeave(d *deployment, trouble bool) (int, error) {
	f, err := startLeavingFleet(d)
	if err != nil {
		return failed, err
	}
	f.staying.work = func() time.Duration { return lookupTime }
	if err := d.awaitReady(); err != nil {
		return failed, err
	}
	time.Sleep(2 * heartbeat)
	l := &leavers{d: d, left: map[string]time.Time{}, closes: map[string]bool{}}
	for n, begun := 0, time.Now(); time.Since(begun) < goneTime; n++ {
		leaves := trouble && rand.Float64() < leaveRatio
		l.group.Go(func() { l.send(f.front, fmt.Sprintf("g%05d", n), n%2 == 0, leaves) })
		time.Sleep(150 * time.Millisecond)
	}
	l.group.Wait()
	time.Sleep(lookupTime)
	return l.judge(f.staying)
}

// judge counts the lookups at which the upstream still was at work half a second after their client had left.
func (l *leavers) judge(u *upstream) (int, error) {
	ran, counted, late := 0, map[bool]int{}, map[bool]int{}
	for _, r := range u.runsAfter(time.Time{}) {
		ran++
		left, ok := l.left[r.id]
		if !ok || r.began.Add(lookupTime).Before(left.Add(goneBound)) {
			continue
		}
		says := l.closes[r.id]
		counted[says]++
		if r.ended.After(left.Add(goneBound)) {
			late[says]++
			l.d.record.line("late: the upstream was at work on %s for %.3f s after its client had left", r.id, r.ended.Sub(left).Seconds())
		}
	}
	if ran == 0 {
		return failed, errors.New("no lookup ran")
	}
	all, allLate := counted[true]+counted[false], late[true]+late[false]
	l.d.record.say("lookups that ran: %d; whose clients left: %d, and the upstream was at work half a second later: %d", ran, all, allLate)
	l.d.record.say("with Connection: close: %d of %d; without: %d of %d", late[true], counted[true], late[false], counted[false])
	if 4*allLate > all {
		l.d.record.say("GONE is broken")
		return broken, nil
	}
	l.d.record.say("GONE held")
	return held, nil
}
