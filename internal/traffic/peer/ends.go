package peer

import (
	"net"

	"storj.io/drpc/drpcwire"
)

// closeDelayer is a connection to another node that keeps back the end of each RPC and sends it with the next one. The other
// node has sent its answer by then and has nothing to do but to read the end, which would wake it up once more for each RPC.
// It is for one writer at a time, as drpc has it.
type closeDelayer struct {
	net.Conn

	pending []byte
}

// Write sends what is held back, and the bytes, unless these end an RPC.
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

// isCloseFrame reports whether the bytes are one frame that closes an RPC, and nothing else.
func isCloseFrame(p []byte) bool {
	rest, frame, ok, err := drpcwire.ParseFrame(p)
	return err == nil && ok && len(rest) == 0 && frame.Kind == drpcwire.KindClose && frame.Done
}
