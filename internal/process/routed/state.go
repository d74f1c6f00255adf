package routed

import (
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/flow"
)

// Dump is the state of a node at one moment.
type Dump struct {
	Board       *board.Board       `json:"board"`
	Load        call.Load          `json:"load"`
	Admission   admission.Totals   `json:"admission"`
	Gate        admission.Stats    `json:"gate"`
	Receiver    flow.ReceiverStats `json:"receiver"`
	Sender      flow.SenderStats   `json:"sender"`
	Connections map[string]int     `json:"connections"`
	Quarantine  []quarantine.Entry `json:"quarantine"`
}

// registerState adds the dump and the metrics.
func (n *Node) registerState(router *httprouter.Router) {
	router.GET("/dump", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(Dump{
			Board:       n.loop.Snapshot(),
			Load:        n.gate.Load(),
			Admission:   n.gate.Totals(),
			Gate:        n.gate.Stats(),
			Receiver:    n.receiver.Stats(),
			Sender:      n.sender.Stats(time.Now()),
			Connections: n.pool.Open(),
			Quarantine:  n.quarantine.Entries(),
		})
	})
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
}
