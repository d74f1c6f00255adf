package node

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/process/parts"
)

// operatorRouter returns the routes of the administration API.
func (n *Node) operatorRouter() *httprouter.Router {
	router := httprouter.New()
	tokens, err := n.config.Settings.Operator.TokenList()
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
		Tokens: operator.NewTokens(secretsByIdentity(tokens)),
		Drain:  n.beginDrain,
		Dump:   func(w http.ResponseWriter, r *http.Request) { parts.WriteJSON(w, n.dump(r.Context()), n.limiter) },
	})
	return router
}

// secretsByIdentity maps each identity of the settings to its token.
func secretsByIdentity(tokens []settings.Token) map[operator.Identity]string {
	secrets := make(map[operator.Identity]string, len(tokens))
	for _, t := range tokens {
		secrets[operator.Identity{Team: t.Team, Editor: t.Editor}] = t.Secret
	}
	return secrets
}
