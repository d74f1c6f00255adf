package node

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
)

// operatorRouter serves the administration API.
func (n *Node) operatorRouter() *httprouter.Router {
	router := httprouter.New()
	tokens, err := n.config.Settings.Operator.TeamTokens()
	if err != nil {
		n.config.Log.Emit(events.NodeFailed, events.Fields{"error": err.Error()})
		return router
	}
	operator.Register(router, operator.Config{
		Board: n.loop,
		Editor: operator.NewEditor(operator.EditorConfig{
			Platform: n.platform,
			Records:  n.controller,
			Log:      n.config.Log,
		}),
		Tokens: operator.NewTokens(tokens),
		Drain:  n.stop,
		Dump:   func(w http.ResponseWriter, r *http.Request) { n.writeDump(r.Context(), w) },
	})
	return router
}
