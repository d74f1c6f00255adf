package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runMemory lets clients of two machines send idempotent requests behind each other and read the answers slowly, in three
// waves. The stand-in of the platform kills a process that exceeds its memory, and starts it again.
func runMemory(record *recorder, trouble bool) (bool, error) {
	const (
		waves      = 3
		clients    = 80
		pipelined  = 6
		answerSize = 950_000
		perSecond  = 100_000
		budget     = 60 * time.Second
		// spacing is the time between the beginnings of two clients of a machine.
		spacing = 50 * time.Millisecond
		// allowed is how many processes of how many machines may end by the rule.
		endsOfMachine, machinesAllowed = 3, 2
	)
	handler := func(u *upstream) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(idHeader)
			record.note("upstream %s runs %s %s", u.id, id, r.URL.Path)
			time.Sleep(20 * time.Millisecond)
			writeAnswer(w, id, answerSize)
		}
	}
	d, err := newDeployment(record, []string{"crew", "crew", "archive", "archive", "archive", "archive"}, handler)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.configure(5, []route{archiveRoute("60000ms")}); err != nil {
		return false, err
	}
	if err := d.start(); err != nil {
		return false, err
	}
	rate := 0
	if trouble {
		rate = perSecond
	}
	done := make(chan struct{})
	var watching sync.WaitGroup
	var ends [2]atomic.Int64
	var peaks [2]atomic.Int64
	for n, m := range d.machines[:2] {
		watching.Go(func() { m.enforceMemory(done, &ends[n], &peaks[n]) })
	}
	for wave := range waves {
		var group sync.WaitGroup
		var whole, refused, cut atomic.Int64
		for _, m := range d.machines[:2] {
			if !m.waitReady(10 * time.Second) {
				close(done)
				watching.Wait()
				return false, fmt.Errorf("%s isn't ready for wave %d", m.name, wave+1)
			}
		}
		time.Sleep(contact + time.Second)
		record.note("wave %d begins: %d clients a machine, %d requests each", wave+1, clients, pipelined)
		for _, m := range d.machines[:2] {
			for n := range clients {
				var calls []*call
				for k := range pipelined {
					calls = append(calls, newCall(http.MethodGet, "/archive/"+strconv.Itoa(wave)+"/"+strconv.Itoa(n)+"/"+strconv.Itoa(k), budget))
				}
				group.Go(func() {
					time.Sleep(time.Duration(n) * spacing)
					exchange(m, archiveHost, rate, calls...)
					for _, c := range calls {
						record.note("client of %s: %v", m.name, c)
						switch {
						case !c.complete:
							cut.Add(1)
						case c.status == http.StatusOK:
							whole.Add(1)
						default:
							refused.Add(1)
						}
					}
				})
			}
		}
		group.Wait()
		record.say("wave %d: %d served, %d refused, %d cut off", wave+1, whole.Load(), refused.Load(), cut.Load())
		for n, m := range d.machines[:2] {
			record.say("  %s: highest memory so far %d MB, ended %d times", m.name, peaks[n].Load(), ends[n].Load())
		}
	}
	close(done)
	watching.Wait()
	affected := 0
	for n := range ends {
		if ends[n].Load() >= endsOfMachine {
			affected++
		}
	}
	record.say("on %d of %d machines the process ended %d times or more (the rule allows fewer than %d such machines)", affected, len(d.machines), endsOfMachine, machinesAllowed)
	return affected >= machinesAllowed, nil
}

// enforceMemory kills the process of the machine each time that it exceeds its memory, and starts it again after a short
// delay, as the platform does.
func (m *machine) enforceMemory(done chan struct{}, ends, peak *atomic.Int64) {
	const (
		interval     = 20 * time.Millisecond
		restartDelay = 500 * time.Millisecond
	)
	for {
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		used := residentMB(m.pid())
		peak.Store(max(peak.Load(), int64(used)))
		if used <= memoryMB {
			continue
		}
		m.deployment.record.note("%s holds %d MB, more than %d: killed", m.name, used, memoryMB)
		ends.Add(1)
		m.kill()
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			m.deployment.record.note("%s can't be started: %v", m.name, err)
			return
		}
	}
}

// residentMB returns the resident memory of the process in megabytes; 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes / 1024
		}
	}
	return 0
}
