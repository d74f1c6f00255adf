package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// errDamaged says that a message was changed on its way.
var errDamaged = errors.New("message does not match its checksum")

const (
	// sealSize is the length of the checksum before each message, in bytes.
	sealSize = 8
	// dictionaryID names the dictionary in each message.
	dictionaryID = 1
	// maxMessage bounds an unpacked message, in bytes.
	maxMessage = 8 << 20
	// packWindow is how far back a packed message repeats itself, in bytes.
	packWindow = 64 << 10
)

// commonWords stand in most messages.
var commonWords = []string{
	"application/octet-stream", "application/json", "Content-Type", "Accept-Encoding", "identity", "User-Agent", "Accept", "*/*", "Host",
}

// Packer makes messages small and unpacks them. All nodes of a fleet need the same one.
type Packer struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewPacker returns a packer for messages in which the words stand often.
func NewPacker(words ...string) (*Packer, error) {
	dictionary := []byte(strings.Join(append(words, commonWords...), "\n"))
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(dictionaryID, dictionary),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(packWindow),
		zstd.WithEncoderCRC(false),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(dictionaryID, dictionary),
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxMessage),
		zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Packer{encoder: encoder, decoder: decoder}, nil
}

// The first byte of a message says how it stands.
const (
	plainForm  = 0
	packedForm = 1
)

// errForm says that a message stands in a form that this node doesn't know.
var errForm = errors.New("message is in an unknown form")

// pack appends the message in the packed form.
func (p *Packer) pack(buffer, message []byte) []byte {
	return p.encoder.EncodeAll(message, append(buffer, packedForm))
}

// open returns the message, and whether it was packed.
func (p *Packer) open(message []byte) ([]byte, bool, error) {
	switch {
	case len(message) == 0:
		return nil, false, errForm
	case message[0] == plainForm:
		return message[1:], false, nil
	case message[0] == packedForm && p != nil:
		opened, err := p.decoder.DecodeAll(message[1:], nil)
		return opened, true, trace.Wrap(err)
	}
	return nil, false, errForm
}

// sealed is an encoding that puts a checksum behind each message, so that damage to any field is found. No message has a
// checksum of a part of its own.
type sealed struct {
	drpc.Encoding
	packer *Packer
	// packs says that messages are sent packed.
	packs bool
	// wasPacked is set where the message that was read was packed; nil for nobody who asks.
	wasPacked *bool
}

// Marshal returns the encoded message and its checksum.
func (s sealed) Marshal(m drpc.Message) ([]byte, error) {
	return s.MarshalAppend(nil, m)
}

// MarshalAppend appends the checksum and the encoded message.
func (s sealed) MarshalAppend(buffer []byte, m drpc.Message) ([]byte, error) {
	start := len(buffer)
	var none [sealSize]byte
	buffer, err := s.encode(append(buffer, none[:]...), m)
	if err != nil {
		return nil, err
	}
	message := buffer[start:]
	binary.LittleEndian.PutUint64(message, xxhash.Sum64(message[sealSize:]))
	return buffer, nil
}

// encode appends the message in its form.
func (s sealed) encode(buffer []byte, m drpc.Message) ([]byte, error) {
	if !s.packs || s.packer == nil {
		return drpcenc.MarshalAppend(m, s.Encoding, append(buffer, plainForm))
	}
	encoded, err := s.Encoding.Marshal(m)
	if err != nil {
		return nil, err
	}
	return s.packer.pack(buffer, encoded), nil
}

// Unmarshal reads the message where its checksum is right.
func (s sealed) Unmarshal(buffer []byte, m drpc.Message) error {
	if len(buffer) < sealSize {
		return errDamaged
	}
	checksum, message := buffer[:sealSize], buffer[sealSize:]
	if binary.LittleEndian.Uint64(checksum) != xxhash.Sum64(message) {
		return errDamaged
	}
	encoded, packed, err := s.packer.open(message)
	if err != nil {
		return err
	}
	if s.wasPacked != nil {
		*s.wasPacked = packed
	}
	return s.Encoding.Unmarshal(encoded, m)
}

// sealedConn is a connection whose messages carry checksums.
type sealedConn struct {
	drpc.Conn
	packer *Packer
	packs  bool
}

// Invoke makes one RPC.
func (c sealedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, sealed{Encoding: enc, packer: c.packer, packs: c.packs}, in, out)
}

// sealedHandler serves RPCs whose messages carry checksums.
type sealedHandler struct {
	handler drpc.Handler
	packer  *Packer
}

// SealHandler returns a handler for RPCs that come over a Pool with the same packer.
func SealHandler(h drpc.Handler, packer *Packer) drpc.Handler {
	return sealedHandler{handler: h, packer: packer}
}

// HandleRPC serves one RPC.
func (h sealedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.handler.HandleRPC(&sealedStream{Stream: stream, packer: h.packer}, rpc)
}

// sealedStream is the server's side of one RPC. It answers in the form in which it was asked.
type sealedStream struct {
	drpc.Stream
	packer *Packer
	packs  bool
}

// MsgSend sends a message with its checksum.
func (s *sealedStream) MsgSend(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(m, sealed{Encoding: enc, packer: s.packer, packs: s.packs})
}

// MsgRecv receives a message and checks it.
func (s *sealedStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(m, sealed{Encoding: enc, packer: s.packer, wasPacked: &s.packs})
}
