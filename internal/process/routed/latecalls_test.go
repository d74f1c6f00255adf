package routed_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// orders sends non-idempotent requests in the background, and holds the status that each got, by path; 0 if there was no
// response.
type orders struct {
	ledger *runLedger
	group  conc.WaitGroup

	mu       sync.Mutex
	statuses map[string]int
}

func newOrders(ledger *runLedger) *orders {
	return &orders{ledger: ledger, statuses: map[string]int{}}
}

// send sends one order to the node. Its caller waits for the given time.
func (o *orders) send(t *testing.T, n *testNode, client *http.Client, path string, wait time.Duration) {
	o.group.Go(func() {
		status := n.callWithin(t, client, "POST", "deposits.example", path, strconv.FormatInt(wait.Milliseconds(), 10)).status
		o.mu.Lock()
		defer o.mu.Unlock()
		o.statuses[path] = status
	})
}

// sendBatch sends four orders for one user, one shortly after the other. The caller of each waits for what is left of the
// user's time.
func (o *orders) sendBatch(t *testing.T, n *testNode, name string, usersTime time.Duration) {
	const gap = 10 * time.Millisecond
	deadline := time.Now().Add(usersTime)
	for k := range 4 {
		o.send(t, n, &http.Client{}, fmt.Sprintf("/%s/%d", name, k), time.Until(deadline))
		time.Sleep(gap)
	}
}

// countCut waits for all responses, checks each, and returns how many orders ran and got another one than that of the
// backend server.
func (o *orders) countCut(t *testing.T) int {
	o.group.Wait()
	cut := 0
	for path, status := range o.statuses {
		if o.ledger.count(path) > 0 && status != http.StatusOK {
			cut++
			t.Log(path, "ran, and was answered with", status)
		}
		o.ledger.checkAnswer(is.New(t), path, status)
	}
	return cut
}

// countRefused returns how many orders below the path were refused as not run.
func (o *orders) countRefused(path string) int {
	refused := 0
	for p, status := range o.statuses {
		if strings.HasPrefix(p, path) && status == http.StatusServiceUnavailable {
			refused++
		}
	}
	return refused
}

// Guards against late requests of callers that are passed on in a planned stop, and broken off, because they look like calls
// of the local backend server: callers that send several requests for one user give each what is left of the user's time.
func TestLateRequestsThatLookLikeCallsEndOrDoNotRun(t *testing.T) {
	const work, batchInterval = 800 * time.Millisecond, 210 * time.Millisecond
	for name, test := range map[string]struct {
		// longRequest is how long the local backend server works on a request that it got right before the stop.
		longRequest time.Duration
	}{
		"nothing runs beside the node":        {work},
		"a long request runs beside the node": {4400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, patientServices())
			ledger := newRunLedger()
			handle := func(w http.ResponseWriter, r *http.Request) {
				ledger.record(r)
				duration := work
				if r.URL.Path == "/long" {
					duration = test.longRequest
				}
				time.Sleep(duration)
				hello(w, r)
			}
			stopping := f.add(t, "zone_1", "bookings", handle)
			f.add(t, "zone_2", "bookings", handle)
			f.waitReady(t)
			random, o := rand.New(rand.NewPCG(1, 1)), newOrders(ledger)
			send := func(name string, batches int) {
				for n := range batches {
					o.sendBatch(t, stopping, fmt.Sprintf("%s/%d", name, n), 3*time.Second+time.Duration(random.Int64N(int64(2*time.Second))))
					time.Sleep(batchInterval)
				}
			}
			send("before", 24)
			o.send(t, stopping, &http.Client{}, "/long", 20*time.Second)
			time.Sleep(100 * time.Millisecond)
			stopping.stop()
			send("stopping", 23) // until the drain has ended
			is.Equal(o.countCut(t), 0)
			is.True(o.countRefused("/stopping/") > 0)
		})
	}
}
