package flow

import (
	"net/http"
	"sync/atomic"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// ReceiverStats holds counts of a Receiver since the start of the process.
type ReceiverStats struct {
	// Started counts the requests sent to the backend server.
	Started uint64 `json:"started"`
	// Succeeded counts the started requests that got a complete response with a status below 500.
	Succeeded uint64 `json:"succeeded"`
	// Wasted counts the started requests that did not, so that the work done for them was lost.
	Wasted uint64 `json:"wasted"`
	// WastedMicros is the total time for which the wasted requests held a slot, in microseconds.
	WastedMicros uint64 `json:"wasted_micros"`
	// NotStarted counts the requests that were refused before any work was done for them.
	NotStarted uint64 `json:"not_started"`
}

// receiverCounters holds the counters for ReceiverStats.
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
