package routed

import (
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
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

// stateRouter serves the dump and the metrics.
func (n *Node) stateRouter() *httprouter.Router {
	router := httprouter.New()
	router.GET("/dump", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { n.writeJSON(w, n.dump()) })
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { n.writeJSON(w, n.metrics()) })
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	return router
}

func (n *Node) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		n.limiter.Emit(time.Now(), events.HTTPFailed, events.Fields{"error": err.Error()})
	}
}

func (n *Node) dump() Dump {
	return Dump{
		Board:       n.loop.Snapshot(),
		Load:        n.gate.Load(),
		Admission:   n.gate.Totals(),
		Gate:        n.gate.Stats(),
		Receiver:    n.receiver.Stats(),
		Sender:      n.sender.Stats(time.Now()),
		Connections: n.pool.Open(),
		Quarantine:  n.quarantine.Entries(),
	}
}

// Metrics are the counters of a node since its start, and the latencies of the requests of its callers.
type Metrics struct {
	Members           int                `json:"members"`
	RoutesVersion     uint64             `json:"routes_version"`
	PlatformReachable bool               `json:"platform_reachable"`
	Load              call.Load          `json:"load"`
	Admission         admission.Totals   `json:"admission"`
	Receiver          flow.ReceiverStats `json:"receiver"`
	Requests          map[string]Meter   `json:"requests"`
}

func (n *Node) metrics() Metrics {
	b := n.loop.Snapshot()
	m := Metrics{
		Members:           len(b.Members.ByNode),
		PlatformReachable: b.Platform.Reachable,
		Load:              n.gate.Load(),
		Admission:         n.gate.Totals(),
		Receiver:          n.receiver.Stats(),
		Requests:          n.meters.read(),
	}
	if b.Routes != nil {
		m.RoutesVersion = b.Routes.Version
	}
	return m
}
