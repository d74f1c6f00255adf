package routed

import (
	"expvar"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/process/parts"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/flow"
)

// stateRouter returns the routes of the dump and the metrics.
func (n *Node) stateRouter() *httprouter.Router {
	router := httprouter.New()
	router.GET("/dump", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		parts.WriteJSON(w, n.dump(), n.limiter)
	})
	router.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		parts.WriteJSON(w, n.metrics(), n.limiter)
	})
	router.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	return router
}

func (n *Node) dump() parts.State {
	state := parts.StateSources{
		Loop: n.loop, Gate: n.gate, Receiver: n.receiver, Sender: n.sender, Pool: n.pool, Quarantine: n.quarantine,
	}
	return state.State()
}

// Metrics holds the counters of a node since its start and the latencies of the requests of its callers.
type Metrics struct {
	Members       int    `json:"members"`
	RoutesVersion uint64 `json:"routes_version"`
	// RoutesLeftOut is the number of parts of that version that can't be used.
	RoutesLeftOut int `json:"routes_left_out"`
	// RoutesNewest is the newest version of the routes that any node was heard to have.
	RoutesNewest uint64 `json:"routes_newest"`
	// RoutesConfirmedMs is how long ago the store responded last with the routes, or that they haven't changed, in
	// milliseconds; -1 if it never did.
	RoutesConfirmedMs int64              `json:"routes_confirmed_ms"`
	PlatformReachable bool               `json:"platform_reachable"`
	Load              call.Load          `json:"load"`
	Admission         admission.Totals   `json:"admission"`
	Receiver          flow.ReceiverStats `json:"receiver"`
	// BackendSent is the number of requests sent to the backend server. It is the sum of Admission.Started, unless
	// something reaches the backend server past the gate.
	BackendSent uint64               `json:"backend_sent"`
	Requests    map[string]KindStats `json:"requests"`
}

func (n *Node) metrics() Metrics {
	b := n.loop.Snapshot()
	m := Metrics{
		Members:           len(b.Members.ByNode),
		PlatformReachable: b.Platform.Reachable,
		RoutesVersion:     n.routes.InForce(),
		RoutesNewest:      n.routes.NewestHeard(),
		RoutesConfirmedMs: n.routes.ConfirmedMs(),
		Load:              n.gate.Load(),
		Admission:         n.gate.Totals(),
		Receiver:          n.receiver.Stats(),
		BackendSent:       n.client.Sent(),
		Requests:          n.requestStats.snapshot(),
	}
	if b.Routes != nil {
		m.RoutesLeftOut = len(b.Routes.LeftOut)
	}
	return m
}
