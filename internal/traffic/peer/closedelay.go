package peer

import (
	"net"

	"storj.io/drpc/drpcwire"
)

// closeDelayer is a connection to another node that holds back the close frame of each RPC and sends it together with
// the next RPC. The other node has already replied when the close frame arrives, so that sending it separately would
// only cost the node another wake-up for each RPC. A closeDelayer supports one writer at a time, which DRPC guarantees.
type closeDelayer struct {
	net.Conn

	pending []byte
}

// Write sends the pending close frames and the bytes. If the bytes are a close frame, it only adds them to the pending
// ones.
func (d *closeDelayer) Write(p []byte) (int, error) {
	if isCloseFrame(p) {
		d.pending = append(d.pending, p...)
		return len(p), nil
	}
	if len(d.pending) == 0 {
		return d.Conn.Write(p)
	}
	pendingSize := len(d.pending)
	written, err := d.Conn.Write(append(d.pending, p...))
	d.pending = d.pending[:0]
	return max(written-pendingSize, 0), err
}

// isCloseFrame reports whether the bytes are exactly one frame that closes an RPC.
func isCloseFrame(p []byte) bool {
	rest, frame, ok, err := drpcwire.ParseFrame(p)
	return err == nil && ok && len(rest) == 0 && frame.Kind == drpcwire.KindClose && frame.Done
}
