package main

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// leftCall is a request whose client leaves.
type leftCall struct {
	*call
	leftAt time.Time
	// reachedAt is when the request last reached an upstream, and endedAt when the work on it ended there.
	reachedAt, endedAt time.Time
}

// runLeave lets clients leave before their time budget: clients that send idempotent requests on a connection of its own
// each, with Connection: close, and clients of non-idempotent requests while the upstreams have more work than slots.
func runLeave(record *recorder, trouble bool) (bool, error) {
	const (
		budget = 5 * time.Second
		// leaveAfter is how long the clients stay.
		leaveAfter = 150 * time.Millisecond
		slack      = 500 * time.Millisecond
		// reads and orders are the numbers of the requests of each kind.
		reads, orders = 40, 300
		orderInterval = 20 * time.Millisecond
		// warmups is how many requests are sent before.
		warmups   = 4
		readWork  = 2 * time.Second
		orderWork = 2 * time.Second
		// fewAllowed is what the rule calls a few.
		fewAllowed = 5
	)
	var mu sync.Mutex
	known := map[string]*leftCall{}
	handler := func(u *upstream) http.HandlerFunc {
		slots := make(chan struct{}, upstreamSlots)
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id, work := r.Header.Get(idHeader), orderWork
			if r.Method == http.MethodGet {
				work = readWork
			}
			mu.Lock()
			c := known[id]
			if c == nil {
				c = &leftCall{} // a warm-up, at which there is no work
				work = 0
			}
			c.reachedAt = time.Now()
			mu.Unlock()
			slots <- struct{}{}
			select {
			case <-time.After(work):
			case <-r.Context().Done():
			}
			<-slots
			mu.Lock()
			c.endedAt = time.Now()
			mu.Unlock()
			writeAnswer(w, id, 400)
		}
	}
	d, err := newDeployment(record, []string{"crew", "archive", "archive", "orders", "orders", "orders"}, handler)
	if err != nil {
		return false, err
	}
	defer d.stop()
	routes := []route{archiveRoute("5000ms"), ordersRoute("5000ms", 0)}
	if err := d.configure(5, routes); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	send := func(host string, c *call) *leftCall {
		left := &leftCall{call: c}
		mu.Lock()
		known[c.id] = left
		mu.Unlock()
		group.Go(func() {
			if !trouble {
				exchange(d.machines[0], host, 0, c)
				return
			}
			conn, err := dialClient(d.machines[0])
			if err != nil {
				return
			}
			c.sent = time.Now()
			_, _ = io.WriteString(conn, c.text(host))
			time.Sleep(leaveAfter)
			mu.Lock()
			left.leftAt = time.Now()
			mu.Unlock()
			_ = conn.Close()
		})
		return left
	}
	var readCalls, orderCalls []*leftCall
	for n := range warmups {
		exchange(d.machines[0], archiveHost, 0, newCall(http.MethodGet, "/archive/warm/"+strconv.Itoa(n), budget))
	}
	for n := range reads {
		time.Sleep(orderInterval)
		c := newCall(http.MethodGet, "/archive/"+strconv.Itoa(n), budget)
		c.withClose = n%2 == 0
		readCalls = append(readCalls, send(archiveHost, c))
	}
	for n := range orders {
		c := newCall(http.MethodPost, "/orders/"+strconv.Itoa(n), budget)
		c.body = "order " + c.id
		orderCalls = append(orderCalls, send(ordersHost, c))
		time.Sleep(orderInterval)
	}
	group.Wait()
	time.Sleep(readWork + time.Second)
	mu.Lock()
	defer mu.Unlock()
	var atWork, readsLeft [2]int // without and with Connection: close
	for _, c := range readCalls {
		if c.leftAt.IsZero() || c.reachedAt.IsZero() {
			continue
		}
		kind := 0
		if c.withClose {
			kind = 1
		}
		readsLeft[kind]++
		over := c.endedAt.Sub(c.leftAt)
		if over > slack {
			atWork[kind]++
		}
		record.note("%s %s, Connection: close %v: the work ended %.3f s after the client had left", c.id, c.path, c.withClose, over.Seconds())
	}
	reached := 0
	for _, c := range orderCalls {
		if c.leftAt.IsZero() || c.reachedAt.IsZero() {
			continue
		}
		after := c.reachedAt.Sub(c.leftAt)
		if after > slack {
			reached++
			record.note("%s %s: reached an upstream %.3f s after the client had left", c.id, c.path, after.Seconds())
		}
	}
	record.say("idempotent requests at which an upstream worked over %s after the client had left: %d of %d; of those with Connection: close %d of %d",
		slack, atWork[0]+atWork[1], readsLeft[0]+readsLeft[1], atWork[1], readsLeft[1])
	record.say("other requests that reached an upstream over %s after the client had left: %d of %d", slack, reached, len(orderCalls))
	return 4*(atWork[0]+atWork[1]) > readsLeft[0]+readsLeft[1] || reached > fewAllowed, nil
}
