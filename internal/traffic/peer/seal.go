package peer

import (
	"context"
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc"
)

// errDamaged says that a message was changed on its way.
var errDamaged = errors.New("message does not match its checksum")

// sealSize is the length of the checksum behind each message, in bytes.
const sealSize = 8

// sealed is an encoding that puts a checksum of the whole message behind it, so that damage to any field is found. No
// message has a checksum of a part of its own.
type sealed struct {
	drpc.Encoding
}

// Marshal returns the encoded message and its checksum.
func (s sealed) Marshal(m drpc.Message) ([]byte, error) {
	encoded, err := s.Encoding.Marshal(m)
	if err != nil {
		return nil, err
	}
	return binary.LittleEndian.AppendUint64(encoded, xxhash.Sum64(encoded)), nil
}

// Unmarshal reads the message where its checksum is right.
func (s sealed) Unmarshal(buffer []byte, m drpc.Message) error {
	if len(buffer) < sealSize {
		return errDamaged
	}
	encoded, checksum := buffer[:len(buffer)-sealSize], buffer[len(buffer)-sealSize:]
	if binary.LittleEndian.Uint64(checksum) != xxhash.Sum64(encoded) {
		return errDamaged
	}
	return s.Encoding.Unmarshal(encoded, m)
}

// sealedConn is a connection whose messages carry checksums.
type sealedConn struct {
	drpc.Conn
}

// Invoke makes one RPC.
func (c sealedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, sealed{enc}, in, out)
}

// sealedHandler serves RPCs whose messages carry checksums.
type sealedHandler struct {
	handler drpc.Handler
}

// SealHandler returns a handler for RPCs that come over a Pool.
func SealHandler(h drpc.Handler) drpc.Handler {
	return sealedHandler{handler: h}
}

// HandleRPC serves one RPC.
func (h sealedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.handler.HandleRPC(sealedStream{stream}, rpc)
}

// sealedStream is the server's side of one RPC.
type sealedStream struct {
	drpc.Stream
}

// MsgSend sends a message with its checksum.
func (s sealedStream) MsgSend(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(m, sealed{enc})
}

// MsgRecv receives a message and checks it.
func (s sealedStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(m, sealed{enc})
}
