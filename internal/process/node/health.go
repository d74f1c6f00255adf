package node

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/flow"
)

// Dump is the state of a node at one moment.
type Dump struct {
	Board              *board.Board       `json:"board"`
	Load               call.Load          `json:"load"`
	QueuedByRank       []int              `json:"queued_by_rank"`
	Admission          admission.Totals   `json:"admission"`
	Gate               admission.Stats    `json:"gate"`
	Receiver           flow.ReceiverStats `json:"receiver"`
	Sender             flow.SenderStats   `json:"sender"`
	Connections        map[string]int     `json:"connections"`
	Quarantine         []quarantine.Entry `json:"quarantine"`
	Control            zone.Stats         `json:"control"`
	ControlConnections map[string]int     `json:"control_connections"`
}

func (n *Node) registerHealth(router *httprouter.Router) {
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write([]byte("ok\n"))
	})
	router.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		n.ready(w)
	})
	router.GET("/dump", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		n.writeDump(r.Context(), w)
	})
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
}

func (n *Node) ready(w http.ResponseWriter) {
	b := n.loop.Snapshot()
	if b.Self.Draining || b.Backend.Service == "" || b.Backend.IsLost() || len(b.Documents.ByService) == 0 {
		http.Error(w, "draining, no backend server or no documents", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (n *Node) writeDump(ctx context.Context, w http.ResponseWriter) {
	byRank := n.gate.QueuedByRank()
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(Dump{
		Board:              n.loop.Snapshot(),
		Load:               n.gate.Load(),
		QueuedByRank:       byRank[:],
		Admission:          n.gate.Totals(),
		Gate:               n.gate.Stats(),
		Receiver:           n.receiver.Stats(),
		Sender:             n.sender.Stats(time.Now()),
		Connections:        n.pool.Open(),
		Quarantine:         n.quarantine.Entries(),
		Control:            n.controller.Stats(ctx),
		ControlConnections: n.controlPool.Open(),
	})
}
