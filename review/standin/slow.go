package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runSlow lets clients read answers steadily but slowly, far within their time budget. Each sends two idempotent requests
// behind each other on a kept connection.
func runSlow(record *recorder, trouble bool) (bool, error) {
	const (
		clients    = 6
		answerSize = 950_000
		perSecond  = 100_000
		budget     = 25 * time.Second
		workTime   = 100 * time.Millisecond
		// allowed is how many requests the rule allows to be lost.
		allowed = 3
	)
	var mu sync.Mutex
	ran := map[string]bool{}
	handler := func(u *upstream) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id, size := r.Header.Get(idHeader), answerSize
			if r.URL.Path == "/archive/first" {
				size = 100
			}
			mu.Lock()
			ran[id] = true
			mu.Unlock()
			record.note("upstream %s runs %s %s", u.id, id, r.URL.Path)
			time.Sleep(workTime)
			writeAnswer(w, id, size)
			record.note("upstream %s has answered %s", u.id, id)
		}
	}
	d, err := newDeployment(record, []string{"crew", "archive", "archive"}, handler)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.configure(5, []route{archiveRoute("25000ms")}); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	rate := 0
	if trouble {
		rate = perSecond
	}
	var calls []*call
	var group sync.WaitGroup
	for n := range clients {
		first := newCall(http.MethodGet, "/archive/first", budget)
		pair := []*call{newCall(http.MethodGet, "/archive/"+strconv.Itoa(2*n), budget), newCall(http.MethodGet, "/archive/"+strconv.Itoa(2*n+1), budget)}
		calls = append(calls, first, pair[0], pair[1])
		group.Go(func() {
			conn, err := dialClient(d.machines[0])
			if err != nil {
				endAll(err, []*call{first, pair[0], pair[1]})
				return
			}
			defer func() { _ = conn.Close() }()
			exchangeOn(conn, archiveHost, 0, first)
			exchangeOn(conn, archiveHost, rate, pair...)
		})
	}
	group.Wait()
	lost, cut := 0, 0
	for _, c := range calls {
		record.note("client: %v", c)
		inTime := c.ended.Sub(c.sent) < budget
		switch {
		case c.complete || !inTime || !ran[c.id]:
		case c.status == 0:
			lost++
		default:
			cut++
		}
	}
	record.say("%d of %d requests ran and their connection was closed without an answer (%d are allowed), %d more got a part of their answer",
		lost, len(calls), allowed, cut)
	return lost > allowed, nil
}
