package routed_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

// runLedger records the requests that the backend servers of a test ran, by ID.
type runLedger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runLedger) record(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[r.Header.Get("Request-Name")]++
}

// mostRuns returns how often the request that ran most often ran; 0 if none ran.
func (l *runLedger) mostRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, n := range l.runs {
		most = max(most, n)
	}
	return most
}

func (l *runLedger) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// promises lists the statuses that promise that a request was not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against accepted requests that are cut off without an answer when a node is stopped under load. Every request
// that reached a backend server must be answered, on connections that are kept and on new ones.
func TestAcceptedRequestsAreAnsweredAtAPlannedStop(t *testing.T) {
	const callers = 40
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	ledger := &runLedger{}
	crew := f.add(t, "zone_1", "crew", hello)
	f.add(t, "zone_1", "bookings", func(w http.ResponseWriter, r *http.Request) {
		ledger.record(r)
		time.Sleep(20 * time.Millisecond)
		hello(w, r)
	})
	f.waitReady(t)
	var answered, refused, unanswered atomic.Int64
	var group conc.WaitGroup
	for n := range callers {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		group.Go(func() {
			for ended := false; !ended; {
				switch status := crew.call(t, client, "POST", "deposits.example", "/b").status; {
				case status == http.StatusOK:
					answered.Add(1)
				case slices.Contains(promises, status):
					refused.Add(1)
				default:
					unanswered.Add(1)
					time.Sleep(5 * time.Millisecond)
				}
				select {
				case <-crew.ended:
					ended = true
				default:
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	crew.stop()
	group.Wait()
	is.True(answered.Load() > callers)
	is.Equal(ledger.mostRuns(), 1)
	is.Equal(int64(ledger.count()), answered.Load()) // a request that ran was cut off; refused ones didn't run
}

// Guards against running a request again, or saying that it was not run, after its answer was lost between the backend
// server and its node: before the first byte, in the head, or in the body.
func TestLostAnswerIsUnknown(t *testing.T) {
	for name, lose := range map[string]func(w http.ResponseWriter){
		"before the first byte": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"in the head": func(w http.ResponseWriter) {
			conn, buffer, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Len")
				_ = buffer.Flush()
				_ = conn.Close()
			}
		},
		"in the body": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("half"))
			panic(http.ErrAbortHandler)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, twoServices(1))
			ledger := &runLedger{}
			handler := func(w http.ResponseWriter, r *http.Request) {
				ledger.record(r)
				lose(w)
			}
			crew := f.add(t, "zone_1", "crew", hello)
			f.add(t, "zone_1", "bookings", handler)
			f.add(t, "zone_1", "bookings", handler)
			f.waitReady(t)
			unknown := 0
			for n := range 10 { // on different paths, because requests like one that broke a connection are held back
				switch status := crew.call(t, &http.Client{}, "POST", "deposits.example", fmt.Sprintf("/%d", n)).status; status {
				case http.StatusBadGateway:
					unknown++
				default:
					is.True(slices.Contains(promises, status))
				}
			}
			is.True(unknown > 0)
			is.Equal(ledger.mostRuns(), 1)
			is.Equal(ledger.count(), unknown) // those that ran, and no other, are told so
		})
	}
}

// Guards against giving up the running work of a node that is only silent to the store, or starting it again elsewhere:
// its entry is deleted and its calls fail while its backend server works on.
func TestSilentNodeKeepsItsWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	ledger := &runLedger{}
	started, release := make(chan struct{}, 2), make(chan struct{})
	crew := f.add(t, "zone_1", "crew", hello)
	work := func(w http.ResponseWriter, r *http.Request) {
		ledger.record(r)
		started <- struct{}{}
		<-release
		hello(w, r)
	}
	f.add(t, "zone_1", "bookings", work)
	f.add(t, "zone_1", "bookings", work)
	f.waitReady(t)
	results := make(chan int, 2)
	var group conc.WaitGroup
	defer group.Wait()
	for range 2 {
		group.Go(func() { results <- crew.call(t, &http.Client{}, "POST", "deposits.example", "/b").status })
		<-started
	}
	f.store.SetFaults(kv.Faults{RefuseNodes: map[string]bool{"node_2": true, "node_3": true}})
	f.store.Revoke("members/node_2")
	f.store.Revoke("members/node_3")
	time.Sleep(1200 * time.Millisecond)
	close(release)
	is.Equal(<-results, http.StatusOK)
	is.Equal(<-results, http.StatusOK)
	is.Equal(ledger.mostRuns(), 1)
}
