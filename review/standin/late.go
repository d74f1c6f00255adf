package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// runLate stops the only node of a zone, as planned, while its clients go on sending orders. The clients send four orders for
// each user, one shortly after the other, and give what is left of the user's time as their time budget. With BUDGET=same in the
// environment they give each order the same time budget instead.
func runLate(record *recorder, trouble bool) (bool, error) {
	const (
		workTime  = 800 * time.Millisecond
		batch     = 4
		perSecond = 4
		// gap is the time between two orders of a batch.
		gap                  = 10 * time.Millisecond
		minBudget, maxBudget = 3 * time.Second, 5 * time.Second
		before               = 14 * time.Second
		after                = 7 * time.Second
		// lateAfter is when an order counts as late: one that was sent sooner after the SIGTERM may be cut at the end.
		lateAfter = 3 * time.Second
	)
	var mu sync.Mutex
	ran := map[string]time.Time{}
	handler := func(u *upstream) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get(idHeader)
			mu.Lock()
			ran[id] = time.Now()
			mu.Unlock()
			record.note("upstream %s runs %s %s", u.id, id, r.RequestURI)
			time.Sleep(workTime)
			writeAnswer(w, id, 400)
		}
	}
	d, err := newDeployment(record, []string{"orders", "orders", "orders"}, handler)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.configure(5, []route{ordersRoute("5000ms", 2)}); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	entry := d.machines[0]
	random := rand.New(rand.NewPCG(1, 1))
	var calls []*call
	var group sync.WaitGroup
	begun := time.Now()
	var stopped time.Time
	for n := 0; time.Since(begun) < before+after; n++ {
		if trouble && stopped.IsZero() && time.Since(begun) >= before {
			stopped = time.Now()
			record.note("SIGTERM to %s", entry.name)
			entry.signal(syscall.SIGTERM)
			group.Go(func() {
				select {
				case <-entry.endedChannel():
					record.note("%s has ended %.3f s after the SIGTERM", entry.name, time.Since(stopped).Seconds())
				case <-time.After(grace):
					record.note("SIGKILL to %s after the grace time", entry.name)
					entry.signal(syscall.SIGKILL)
				}
			})
		}
		budget := minBudget + time.Duration(random.Int64N(int64(maxBudget-minBudget)))
		userDeadline := time.Now().Add(budget)
		for k := range batch {
			left := time.Until(userDeadline).Truncate(time.Millisecond)
			if os.Getenv("BUDGET") == "same" {
				left = maxBudget
			}
			c := newCall(http.MethodPost, "/orders/"+strconv.Itoa(n)+"/"+strconv.Itoa(k), left)
			c.body = "order " + c.id
			calls = append(calls, c)
			group.Go(func() { exchange(entry, ordersHost, 0, c) })
			time.Sleep(gap)
		}
		time.Sleep(time.Second/perSecond - batch*gap)
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	lost, late := 0, 0
	for _, c := range calls {
		record.note("client: %v", c)
		if stopped.IsZero() || c.sent.Sub(stopped) < lateAfter {
			continue
		}
		late++
		_, hasRun := ran[c.id]
		isAnswered := c.complete && c.status == http.StatusOK
		if hasRun && !isAnswered && c.ended.Sub(c.sent) < c.budget {
			lost++
			record.note("lost: %v; it was sent %.3f s after the SIGTERM and an upstream began to run it", c, c.sent.Sub(stopped).Seconds())
		}
	}
	record.say("%d orders, %d of them sent later than %s after the SIGTERM; %d of these were passed on, and broken off by the node while an upstream was at work",
		len(calls), late, lateAfter, lost)
	return lost > 0, nil
}
