package routed_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// charges is a backend server that runs calls and stops each at the deadline that it is given.
type charges struct {
	// workFor returns how long the call with the number takes.
	workFor func(number int) time.Duration

	mu sync.Mutex
	// statuses holds the status of its response to each call, by path; 0 while it is at work.
	statuses map[string]int
}

func (c *charges) serve(w http.ResponseWriter, r *http.Request) {
	left, err := strconv.Atoi(r.Header.Get("Time-Left"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	work := c.workFor(len(c.statuses))
	c.statuses[r.URL.Path] = 0
	c.mu.Unlock()
	status, limit := http.StatusOK, time.Duration(left)*time.Millisecond
	if limit < work {
		status, work = http.StatusGatewayTimeout, limit
	}
	time.Sleep(work)
	c.mu.Lock()
	c.statuses[r.URL.Path] = status
	c.mu.Unlock()
	w.WriteHeader(status)
}

// status returns the status of the response to the call, and whether it ran.
func (c *charges) status(path string) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, ran := c.statuses[path]
	return status, ran
}

// Guards against a request of another node that is broken off at the end of a planned stop while the backend server beside the stopping
// node is at work on it: one that begins during the stop, and one that has waited for a slot since before.
func TestRequestsOfOtherNodesGetTheResponseOfAStoppingNodesBackendServer(t *testing.T) {
	const long = 20 * time.Second
	for name, test := range map[string]struct {
		// before is how long the request is sent before the stop, and busy how long the only slot stays taken from then on.
		before, busy time.Duration
	}{
		"begins during the stop":       {before: -time.Second},
		"has waited since before that": {before: 100 * time.Millisecond, busy: 350 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, patientServices())
			charging := &charges{statuses: map[string]int{}, workFor: func(number int) time.Duration {
				if number == 0 && test.busy > 0 {
					return test.busy
				}
				return long
			}}
			entry := f.add(t, "zone_1", "crew", hello)
			stopping := f.add(t, "zone_1", "bookings", charging.serve)
			if test.busy > 0 {
				stopping.announceSlots(1)
			}
			f.waitReady(t)
			var group conc.WaitGroup
			defer group.Wait()
			if test.busy > 0 {
				group.Go(func() { entry.callWithin(t, &http.Client{}, "POST", "deposits.example", "/busy", "20000") })
				time.Sleep(100 * time.Millisecond)
			}
			time.AfterFunc(max(test.before, 0), stopping.stop)
			time.Sleep(max(-test.before, 0))
			got := entry.callWithin(t, &http.Client{}, "POST", "deposits.example", "/long", "20000").status
			status, ran := charging.status("/long")
			is.True(ran)
			is.Equal(got, http.StatusGatewayTimeout)
			is.Equal(status, http.StatusGatewayTimeout) // the backend server had ended by then
		})
	}
}

// sentCall is a call and the status that the backend server that made it got.
type sentCall struct {
	path   string
	at     time.Time
	status int
}

// jobs is a backend server that makes one call after the other for each request, until the deadline or until one isn't served.
type jobs struct {
	node *testNode

	mu    sync.Mutex
	calls []sentCall
}

func (j *jobs) serve(t *testing.T, r *http.Request) {
	left, err := strconv.Atoi(r.Header.Get("Time-Left"))
	is.New(t).NoErr(err)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	deadline := time.Now().Add(time.Duration(left) * time.Millisecond)
	for n := 0; time.Now().Before(deadline); n++ {
		c := sentCall{path: fmt.Sprintf("%s/%d", r.URL.Path, n), at: time.Now()}
		remaining := strconv.FormatInt(time.Until(deadline).Milliseconds(), 10)
		c.status = j.node.callWithin(t, client, "POST", "deposits.example", c.path, remaining).status
		j.mu.Lock()
		j.calls = append(j.calls, c)
		j.mu.Unlock()
		if c.status != http.StatusOK {
			return
		}
	}
}

// Guards against calls that are taken late in a planned stop, because their kind seldom takes long, and then broken off while a
// backend server is at work on them; and against calls of that time that are refused although they end in it.
func TestLateCallsThatTakeLongGetTheResponseOfTheirBackendServer(t *testing.T) {
	const usual, rare = 20 * time.Millisecond, 700 * time.Millisecond
	for name, test := range map[string]struct {
		// workFor returns how long the call with the number takes, given the time since the stop; 0 before it.
		workFor func(number int, sinceStop time.Duration) time.Duration
		// mayTimeOut is whether calls may take longer than any before the stop.
		mayTimeOut bool
	}{
		"one in twenty takes long": {workFor: func(number int, _ time.Duration) time.Duration {
			if number%20 == 0 {
				return rare
			}
			return usual
		}},
		"longer than ever before": {mayTimeOut: true, workFor: func(_ int, sinceStop time.Duration) time.Duration {
			if sinceStop > 4*time.Second {
				return 20 * time.Second
			}
			return usual
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, patientServices())
			var stopped time.Time // guarded by the mutex of charging
			charging := &charges{statuses: map[string]int{}}
			charging.workFor = func(number int) time.Duration {
				if stopped.IsZero() {
					return test.workFor(number, 0)
				}
				return test.workFor(number, time.Since(stopped))
			}
			working := &jobs{}
			working.node = f.add(t, "zone_1", "crew", func(_ http.ResponseWriter, r *http.Request) { working.serve(t, r) })
			entry := f.add(t, "zone_1", "bookings", charging.serve)
			f.waitReady(t)
			// Until the first response of a backend server its node starts four requests a second.
			entry.callWithin(t, &http.Client{}, "GET", "sheets.example", "/first", "300")
			var group conc.WaitGroup
			for n := range 8 {
				group.Go(func() {
					entry.callWithin(t, &http.Client{}, "GET", "sheets.example", fmt.Sprintf("/%d", n), strconv.Itoa(18_000+n*100))
				})
				time.Sleep(150 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond) // all of them run
			charging.mu.Lock()
			stopped = time.Now()
			charging.mu.Unlock()
			working.node.stop()
			group.Wait()
			<-working.node.ended
			working.check(t, charging, stopped, test.mayTimeOut)
		})
	}
}

// check checks the responses to all calls that were sent after the stop, and that those from 2.8 to 3.8 s after it were served.
func (j *jobs) check(t *testing.T, c *charges, stopped time.Time, mayTimeOut bool) {
	is := is.New(t)
	byStatus, late := map[int]int{}, 0
	for _, sent := range j.calls {
		since := sent.at.Sub(stopped)
		if since < 0 {
			continue
		}
		byStatus[sent.status]++
		status, ran := c.status(sent.path)
		if ran && status != sent.status {
			t.Errorf("%s, sent %v after the stop: got %d, its backend server responded with %d", sent.path, since, sent.status, status)
		}
		if status == http.StatusGatewayTimeout && !mayTimeOut {
			t.Errorf("%s, sent %v after the stop: had no time to end", sent.path, since)
		}
		if since > 2800*time.Millisecond && since < 3800*time.Millisecond {
			late++
			is.Equal(sent.status, http.StatusOK)
		}
	}
	t.Log("calls by status:", byStatus, "of them from 2.8 to 3.8 s after the stop:", late)
	is.True(late > 0)
}
