package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runRestarted starts an upstream again under the ID that it had. Meanwhile the time of day of its machine has jumped back, so
// that its new start is earlier by its clock than the one before. Then the upstream reports that it is draining.
func runRestarted(record *recorder, trouble bool) (bool, error) {
	const (
		interval  = 20 * time.Millisecond
		budget    = 3 * time.Second
		serveTime = 5 * time.Second
		workTime  = 100 * time.Millisecond
		// jump is how far the clock jumps back. The last start follows the one before by less than that.
		jump      = 2400 * time.Millisecond
		startsGap = 1500 * time.Millisecond
	)
	var mu sync.Mutex
	var drainingAt time.Time
	late := 0
	var leaving *upstream
	handler := func(u *upstream) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(idHeader)
			mu.Lock()
			if u == leaving && !drainingAt.IsZero() {
				since := time.Since(drainingAt)
				record.note("upstream %s runs %s, %.3f s after its draining was acknowledged", u.id, id, since.Seconds())
				if since > drainBound {
					late++
				}
			}
			mu.Unlock()
			time.Sleep(workTime)
			writeAnswer(w, id, 400)
		}
	}
	d, err := newDeployment(record, []string{"crew", "archive", "archive"}, handler)
	if err != nil {
		return false, err
	}
	defer d.stop()
	leaving = d.machines[1].upstream
	if err := d.configure(5, []route{archiveRoute("3000ms")}); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			c := newCall(http.MethodGet, "/archive/"+strconv.Itoa(n), budget)
			group.Go(func() { exchange(d.machines[0], archiveHost, 0, c) })
		}
	})
	time.Sleep(time.Second)
	leaving.startAgain(time.Now())
	time.Sleep(startsGap)
	clock := time.Now()
	if trouble {
		clock = clock.Add(-jump)
	}
	leaving.startAgain(clock)
	time.Sleep(contact)
	time.Sleep(time.Second)
	leaving.silent.Store(true)
	time.Sleep(2 * beatInterval)
	for begun := time.Now(); time.Since(begun) < serveTime; time.Sleep(beatInterval) {
		status := leaving.call(http.MethodPut, leaving.message("draining"))
		mu.Lock()
		if drainingAt.IsZero() && status == http.StatusOK {
			drainingAt = time.Now()
			record.note("PUT /instances/%s, draining: %d", leaving.id, status)
		}
		mu.Unlock()
	}
	close(stop)
	group.Wait()
	record.say("%d requests reached the upstream later than %s after its draining was acknowledged", late, drainBound)
	return late > 0, nil
}

// startAgain begins a new start of the upstream under its ID. now is the time of day on its machine.
func (u *upstream) startAgain(now time.Time) {
	u.machine.deployment.record.note("upstream %s starts again; born %d ms after its earlier start", u.id, now.UnixMilli()-u.born)
	u.sequence.Store(0)
	u.born = now.UnixMilli()
}
