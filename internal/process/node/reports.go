package node

import (
	"net/http"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// logRejected logs a malformed request of a caller.
func (n *Node) logRejected(r *http.Request, reason call.Reason, text string) {
	n.limiter.Emit(time.Now(), events.CallerRejected, events.Fields{
		"remote": r.RemoteAddr,
		"reason": string(reason),
		"text":   text,
	})
}

// logEarlyClose logs a connection that ended before a complete request head.
func (n *Node) logEarlyClose(remote string) {
	n.limiter.Emit(time.Now(), events.CallerRejected, events.Fields{
		"remote": remote,
		"reason": string(call.ReasonBadRequest),
		"text":   "the connection ended before a whole request head",
	})
}
