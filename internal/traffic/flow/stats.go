package flow

import (
	"net/http"
	"sync/atomic"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// ReceiverStats counts what a Receiver did since the start.
type ReceiverStats struct {
	// Started are requests sent to the backend server.
	Started uint64 `json:"started"`
	// Succeeded are those of them that ended with a whole answer below 500.
	Succeeded uint64 `json:"succeeded"`
	// Wasted are those that ended without, so that the work done for them was lost.
	Wasted uint64 `json:"wasted"`
	// WastedMicros is the time for which they held a slot, in microseconds.
	WastedMicros uint64 `json:"wasted_micros"`
	// NotStarted are requests that were refused before any work.
	NotStarted uint64 `json:"not_started"`
}

// receiverCounters are the counters behind ReceiverStats.
type receiverCounters struct {
	succeeded    atomic.Uint64
	wasted       atomic.Uint64
	wastedMicros atomic.Uint64
	notStarted   atomic.Uint64
}

func (c *receiverCounters) count(r backend.Result) {
	if succeeded(r) {
		c.succeeded.Add(1)
		return
	}
	c.wasted.Add(1)
	c.wastedMicros.Add(uint64(r.HoldTime.Microseconds()))
}

func (c *receiverCounters) stats() ReceiverStats {
	stats := ReceiverStats{
		Succeeded:    c.succeeded.Load(),
		Wasted:       c.wasted.Load(),
		WastedMicros: c.wastedMicros.Load(),
		NotStarted:   c.notStarted.Load(),
	}
	stats.Started = stats.Succeeded + stats.Wasted
	return stats
}

func succeeded(r backend.Result) bool {
	return r.Reply.Outcome == call.Ran && r.Reply.Status < http.StatusInternalServerError
}
