package node

import (
	"net/http"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// rejected logs a malformed request of a caller.
func (n *Node) rejected(r *http.Request, reason call.Reason, text string) {
	n.limiter.Emit(time.Now(), events.CallerRejected, events.Fields{
		"remote": r.RemoteAddr,
		"reason": string(reason),
		"text":   text,
	})
}

// endedEarly logs a connection that ended before a whole request.
func (n *Node) endedEarly(remote string) {
	n.limiter.Emit(time.Now(), events.CallerRejected, events.Fields{
		"remote": remote,
		"reason": string(call.ReasonBadRequest),
		"text":   "the connection ended before a whole request head",
	})
}
