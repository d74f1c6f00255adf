package parts

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/flow"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// State is the part of a dump that every kind of node has.
type State struct {
	Board       *board.Board       `json:"board"`
	Load        call.Load          `json:"load"`
	Admission   admission.Totals   `json:"admission"`
	Gate        admission.Stats    `json:"gate"`
	Receiver    flow.ReceiverStats `json:"receiver"`
	Sender      flow.SenderStats   `json:"sender"`
	Connections map[string]int     `json:"connections"`
	Quarantine  []quarantine.Entry `json:"quarantine"`
}

// StateSources holds the components of a node whose state is part of a dump.
type StateSources struct {
	Loop       *board.Loop
	Gate       *backend.Gate
	Receiver   *flow.Receiver
	Sender     *flow.Sender
	Pool       *peer.Pool
	Quarantine *flow.Quarantine
}

// State returns a snapshot of the components' state.
func (s StateSources) State() State {
	return State{
		Board:       s.Loop.Snapshot(),
		Load:        s.Gate.Load(),
		Admission:   s.Gate.Totals(),
		Gate:        s.Gate.Stats(),
		Receiver:    s.Receiver.Stats(),
		Sender:      s.Sender.Stats(time.Now()),
		Connections: s.Pool.OpenCounts(),
		Quarantine:  s.Quarantine.Entries(),
	}
}

// WriteJSON writes the value as an indented JSON response. A failed write, such as to a client that disconnected, is
// logged.
func WriteJSON(w http.ResponseWriter, value any, limiter *events.Limiter) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		limiter.Emit(time.Now(), events.HTTPFailed, events.Fields{"error": err.Error()})
	}
}
