package node

import (
	"context"
	"expvar"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/process/parts"
)

// Dump is a snapshot of the state of a node configured by documents.
type Dump struct {
	parts.State
	QueuedByRank       []int          `json:"queued_by_rank"`
	Control            zone.Stats     `json:"control"`
	ControlConnections map[string]int `json:"control_connections"`
}

func (n *Node) registerHealth(router *httprouter.Router) {
	router.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		_, _ = w.Write([]byte("ok\n"))
	})
	router.GET("/readyz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		n.writeReadiness(w)
	})
	router.GET("/dump", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		parts.WriteJSON(w, n.dump(r.Context()), n.limiter)
	})
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
}

func (n *Node) writeReadiness(w http.ResponseWriter) {
	b := n.loop.Snapshot()
	if b.Self.Draining || b.Backend.Service == "" || b.Backend.IsLost() || len(b.Documents.ByService) == 0 {
		http.Error(w, "draining, no backend server or no documents", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (n *Node) dump(ctx context.Context) Dump {
	byRank := n.gate.QueuedByRank()
	state := parts.StateSources{
		Loop: n.loop, Gate: n.gate, Receiver: n.receiver, Sender: n.sender, Pool: n.pool, Quarantine: n.quarantine,
	}
	return Dump{
		State:              state.State(),
		QueuedByRank:       byRank[:],
		Control:            n.controller.Stats(ctx),
		ControlConnections: n.controlPool.OpenCounts(),
	}
}
