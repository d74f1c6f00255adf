package server

import (
	"sync"
	"time"
)

// RequestHeader carries the load generator's request ID down the call chain.
const RequestHeader = "X-Lab-Request"

// Run is the ledger entry of one request.
type Run struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Started int    `json:"started"`
	Ended   int    `json:"ended"`
	// First and Last are when the request was first and last started on this server.
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
}

// Ledger counts how often each request ran on one server.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]*Run
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]*Run{}}
}

func (l *Ledger) start(request, key string) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := request + " " + key
	r, ok := l.runs[id]
	if !ok {
		r = &Run{Request: request, Key: key, First: time.Now()}
		l.runs[id] = r
	}
	r.Last = time.Now()
	r.Started++
	return r
}

func (l *Ledger) end(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended++
}

// Runs returns a copy of all entries.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		runs = append(runs, *r)
	}
	return runs
}
