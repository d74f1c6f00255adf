package routed_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

// runLedger counts the runs of the requests that the backend servers of a test got, by path.
type runLedger struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunLedger() *runLedger {
	return &runLedger{runs: map[string]int{}}
}

func (l *runLedger) record(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.URL.Path]++
}

// count returns how often a request with the path ran.
func (l *runLedger) count(path string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[path]
}

// checkAnswer checks the status that a caller of a non-idempotent request got, 0 for none, against the ledger: it ran at
// most once, not at all if a refusal promised that, and it was answered if it ran.
func (l *runLedger) checkAnswer(is *is.I, path string, status int) {
	is.Helper()
	runs := l.count(path)
	is.True(runs <= 1)
	if status == 0 || slices.Contains(promises, status) {
		is.Equal(runs, 0) // the request ran, but was cut off, or called "not run"
	}
}

// promises lists the statuses that promise that a request was not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against accepted requests that are cut off without an answer when a node is stopped under load. Every request
// that reached a backend server must be answered, on connections that are kept and on new ones.
func TestAcceptedRequestsAreAnsweredAtAPlannedStop(t *testing.T) {
	const callers = 40
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	ledger := newRunLedger()
	crew := f.add(t, "zone_1", "crew", hello)
	f.add(t, "zone_1", "bookings", func(w http.ResponseWriter, r *http.Request) {
		ledger.record(r)
		time.Sleep(20 * time.Millisecond)
		hello(w, r)
	})
	f.waitReady(t)
	var mu sync.Mutex
	statuses := map[string]int{}
	var group conc.WaitGroup
	for n := range callers {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: n%2 == 0}}
		group.Go(func() {
			for number, ended := 0, false; !ended; number++ {
				path := fmt.Sprintf("/%d/%d", n, number)
				status := crew.call(t, client, "POST", "deposits.example", path).status
				mu.Lock()
				statuses[path] = status
				mu.Unlock()
				if status != http.StatusOK {
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
	byStatus := map[int]int{}
	for path, status := range statuses {
		ledger.checkAnswer(is, path, status)
		byStatus[status]++
	}
	t.Log("answers by status, 0 for none:", byStatus)
	is.True(byStatus[http.StatusOK] > callers)
}

// Guards against cutting off a request that is still open when the drain of its node ends. It must be answered as
// one that may have run.
func TestOpenRequestIsAnsweredAtTheEndOfADrain(t *testing.T) {
	is := is.New(t)
	configuration := twoServices(1)
	for n := range configuration.Routes {
		configuration.Routes[n].Timeout = 20 * time.Second
	}
	f := newFleet(t, configuration)
	release := make(chan struct{})
	crew := f.add(t, "zone_1", "crew", hello)
	f.add(t, "zone_1", "bookings", func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	f.waitReady(t)
	results := make(chan int, 1)
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		results <- crew.callWithin(t, &http.Client{}, "POST", "deposits.example", "/b", "20000").status
	})
	time.Sleep(200 * time.Millisecond)
	crew.stop()
	is.Equal(<-results, http.StatusBadGateway)
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
			ledger := newRunLedger()
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
				path := fmt.Sprintf("/%d", n)
				status := crew.call(t, &http.Client{}, "POST", "deposits.example", path).status
				ledger.checkAnswer(is, path, status)
				is.True(status == http.StatusBadGateway || slices.Contains(promises, status))
				if status == http.StatusBadGateway {
					unknown++
				}
			}
			is.True(unknown > 0)
		})
	}
}

// Guards against giving up the running work of a node that is only silent to the store, or starting it again elsewhere:
// its entry is deleted and its calls fail while its backend server works on.
func TestSilentNodeKeepsItsWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	ledger := newRunLedger()
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
	for _, path := range []string{"/1", "/2"} {
		group.Go(func() { results <- crew.call(t, &http.Client{}, "POST", "deposits.example", path).status })
		<-started
	}
	f.store.SetFaults(kv.Faults{RefuseNodes: map[string]bool{"node_2": true, "node_3": true}})
	f.store.Revoke("members/node_2")
	f.store.Revoke("members/node_3")
	time.Sleep(1200 * time.Millisecond)
	close(release)
	is.Equal(<-results, http.StatusOK)
	is.Equal(<-results, http.StatusOK)
	is.Equal(ledger.count("/1"), 1)
	is.Equal(ledger.count("/2"), 1)
}
