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

// errChecksumMismatch is returned for a message that was damaged in transit.
var errChecksumMismatch = errors.New("message does not match its checksum")

const (
	// checksumSize is the size of the checksum before each message, in bytes.
	checksumSize = 8
	// dictionaryID identifies the compression dictionary in each compressed message.
	dictionaryID = 1
	// maxMessageSize is the maximum size of a decompressed message, in bytes.
	maxMessageSize = 8 << 20
	// compressionWindow is the window size of the compression, in bytes.
	compressionWindow = 64 << 10
)

// commonTerms are strings that occur in most messages. They are part of the compression dictionary.
var commonTerms = []string{
	"application/octet-stream", "application/json", "Content-Type", "Accept-Encoding", "identity", "User-Agent", "Accept", "*/*", "Host",
}

// Compressor compresses and decompresses messages with a dictionary. All nodes of a fleet must use the same dictionary.
type Compressor struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewCompressor returns a compressor whose dictionary contains the terms, which should occur in many messages.
func NewCompressor(terms ...string) (*Compressor, error) {
	dictionary := []byte(strings.Join(append(terms, commonTerms...), "\n"))
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderDictRaw(dictionaryID, dictionary),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindow),
		zstd.WithEncoderCRC(false),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderDictRaw(dictionaryID, dictionary),
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxMessageSize),
		zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Compressor{encoder: encoder, decoder: decoder}, nil
}

// The first byte of a message is its form.
const (
	formPlain      = 0
	formCompressed = 1
)

// errUnknownForm is returned for a message that is empty, whose first byte is not a known form, or that is compressed
// when the node has no Compressor.
var errUnknownForm = errors.New("message is in an unknown form")

// compress appends the message in the compressed form to the buffer.
func (c *Compressor) compress(buffer, message []byte) []byte {
	return c.encoder.EncodeAll(message, append(buffer, formCompressed))
}

// decode returns the message without its form, and reports whether it was compressed.
func (c *Compressor) decode(message []byte) ([]byte, bool, error) {
	switch {
	case len(message) == 0:
		return nil, false, errUnknownForm
	case message[0] == formPlain:
		return message[1:], false, nil
	case message[0] == formCompressed && c != nil:
		decompressed, err := c.decoder.DecodeAll(message[1:], nil)
		return decompressed, true, trace.Wrap(err)
	}
	return nil, false, errUnknownForm
}

// messageEncoding is an encoding that puts a checksum before each message, so that damage to any field is detected.
// Messages therefore have no checksum fields.
type messageEncoding struct {
	drpc.Encoding
	compressor *Compressor
	// compress reports whether messages are sent compressed.
	compress bool
	// wasCompressed receives whether the message that was read was compressed. It may be nil.
	wasCompressed *bool
}

// Marshal returns the checksum and the encoded message.
func (e messageEncoding) Marshal(m drpc.Message) ([]byte, error) {
	return e.MarshalAppend(nil, m)
}

// MarshalAppend appends the checksum and the encoded message to the buffer.
func (e messageEncoding) MarshalAppend(buffer []byte, m drpc.Message) ([]byte, error) {
	start := len(buffer)
	var placeholder [checksumSize]byte
	buffer, err := e.encode(append(buffer, placeholder[:]...), m)
	if err != nil {
		return nil, err
	}
	message := buffer[start:]
	binary.LittleEndian.PutUint64(message, xxhash.Sum64(message[checksumSize:]))
	return buffer, nil
}

// encode appends the form and the encoded message to the buffer.
func (e messageEncoding) encode(buffer []byte, m drpc.Message) ([]byte, error) {
	if !e.compress || e.compressor == nil {
		return drpcenc.MarshalAppend(m, e.Encoding, append(buffer, formPlain))
	}
	encoded, err := e.Encoding.Marshal(m)
	if err != nil {
		return nil, err
	}
	return e.compressor.compress(buffer, encoded), nil
}

// Unmarshal verifies the checksum and decodes the message.
func (e messageEncoding) Unmarshal(buffer []byte, m drpc.Message) error {
	if len(buffer) < checksumSize {
		return errChecksumMismatch
	}
	checksum, message := buffer[:checksumSize], buffer[checksumSize:]
	if binary.LittleEndian.Uint64(checksum) != xxhash.Sum64(message) {
		return errChecksumMismatch
	}
	encoded, compressed, err := e.compressor.decode(message)
	if err != nil {
		return err
	}
	if e.wasCompressed != nil {
		*e.wasCompressed = compressed
	}
	return e.Encoding.Unmarshal(encoded, m)
}

// encodedConn is a connection that uses messageEncoding.
type encodedConn struct {
	drpc.Conn
	compressor *Compressor
	compress   bool
}

// Invoke makes one RPC.
func (c encodedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, messageEncoding{Encoding: enc, compressor: c.compressor, compress: c.compress}, in, out)
}

// encodedHandler serves RPCs that use messageEncoding.
type encodedHandler struct {
	handler    drpc.Handler
	compressor *Compressor
}

// NewHandler returns a handler for RPCs that are sent through a Pool with an equal Compressor. It passes the decoded
// RPCs to h.
func NewHandler(h drpc.Handler, compressor *Compressor) drpc.Handler {
	return encodedHandler{handler: h, compressor: compressor}
}

// HandleRPC serves one RPC.
func (h encodedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.handler.HandleRPC(&encodedStream{Stream: stream, compressor: h.compressor}, rpc)
}

// encodedStream is the server side of one RPC. It sends compressed messages if the message received last was compressed.
type encodedStream struct {
	drpc.Stream
	compressor *Compressor
	compress   bool
}

// MsgSend sends a message with its checksum.
func (s *encodedStream) MsgSend(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(m, messageEncoding{Encoding: enc, compressor: s.compressor, compress: s.compress})
}

// MsgRecv receives a message and verifies its checksum.
func (s *encodedStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(m, messageEncoding{Encoding: enc, compressor: s.compressor, wasCompressed: &s.compress})
}
