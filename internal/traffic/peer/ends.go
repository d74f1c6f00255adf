package peer

import (
	"net"

	"storj.io/drpc/drpcwire"
)

// endHolder is a connection to another node that keeps back the end of each RPC and sends it with the next one. The other
// node has sent its answer by then and has nothing to do but to read the end, which would wake it up once more for each RPC.
// It is for one writer at a time, as drpc has it.
type endHolder struct {
	net.Conn

	held []byte
}

// Write sends what is held back, and the bytes, unless these end an RPC.
func (h *endHolder) Write(p []byte) (int, error) {
	if isEnd(p) {
		h.held = append(h.held, p...)
		return len(p), nil
	}
	if len(h.held) == 0 {
		return h.Conn.Write(p)
	}
	held := len(h.held)
	written, err := h.Conn.Write(append(h.held, p...))
	h.held = h.held[:0]
	return max(written-held, 0), err
}

// isEnd reports whether the bytes are one frame that closes an RPC, and nothing else.
func isEnd(p []byte) bool {
	rest, frame, ok, err := drpcwire.ParseFrame(p)
	return err == nil && ok && len(rest) == 0 && frame.Kind == drpcwire.KindClose && frame.Done
}
