package node

import (
	"context"
	"errors"
	"log"
	"net/http"
	"strings"
	"time"

	"storj.io/drpc"

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

// peerFailed logs how a connection of another node ended. That the other end closed it, or gave up a call, is no fault.
func (n *Node) peerFailed(err error) {
	switch {
	case drpc.ClosedError.Has(err), errors.Is(err, context.Canceled):
	case errors.Is(err, context.DeadlineExceeded):
		n.limiter.Emit(time.Now(), events.PeerIdle, nil)
	default:
		n.limiter.Emit(time.Now(), events.PeerGarbage, events.Fields{"error": err.Error()})
	}
}

func (n *Node) httpLog() *log.Logger {
	return log.New(httpErrors{n.limiter}, "", 0)
}

// httpErrors turns the lines that an HTTP server logs into events.
type httpErrors struct {
	limiter *events.Limiter
}

// Write logs one line.
func (e httpErrors) Write(line []byte) (int, error) {
	e.limiter.Emit(time.Now(), events.HTTPFailed, events.Fields{"error": strings.TrimSpace(string(line))})
	return len(line), nil
}
