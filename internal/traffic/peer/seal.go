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

// errChecksumMismatch says that a message was changed on its way.
var errChecksumMismatch = errors.New("message does not match its checksum")

const (
	// checksumSize is the length of the checksum before each message, in bytes.
	checksumSize = 8
	// dictionaryID names the dictionary in each message.
	dictionaryID = 1
	// maxMessageSize bounds an unpacked message, in bytes.
	maxMessageSize = 8 << 20
	// compressionWindow is how far back a packed message repeats itself, in bytes.
	compressionWindow = 64 << 10
)

// commonTerms stand in most messages.
var commonTerms = []string{
	"application/octet-stream", "application/json", "Content-Type", "Accept-Encoding", "identity", "User-Agent", "Accept", "*/*", "Host",
}

// Compressor makes messages small and unpacks them. All nodes of a fleet need the same one.
type Compressor struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewCompressor returns a packer for messages in which the words stand often.
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

// The first byte of a message says how it stands.
const (
	formPlain      = 0
	formCompressed = 1
)

// errUnknownForm says that a message stands in a form that this node doesn't know.
var errUnknownForm = errors.New("message is in an unknown form")

// compress appends the message in the packed form.
func (p *Compressor) compress(buffer, message []byte) []byte {
	return p.encoder.EncodeAll(message, append(buffer, formCompressed))
}

// decode returns the message, and whether it was packed.
func (p *Compressor) decode(message []byte) ([]byte, bool, error) {
	switch {
	case len(message) == 0:
		return nil, false, errUnknownForm
	case message[0] == formPlain:
		return message[1:], false, nil
	case message[0] == formCompressed && p != nil:
		decompressed, err := p.decoder.DecodeAll(message[1:], nil)
		return decompressed, true, trace.Wrap(err)
	}
	return nil, false, errUnknownForm
}

// messageEncoding is an encoding that puts a checksum behind each message, so that damage to any field is found. No message has a
// checksum of a part of its own.
type messageEncoding struct {
	drpc.Encoding
	compressor *Compressor
	// compress says that messages are sent packed.
	compress bool
	// wasCompressed is set where the message that was read was packed; nil for nobody who asks.
	wasCompressed *bool
}

// Marshal returns the encoded message and its checksum.
func (s messageEncoding) Marshal(m drpc.Message) ([]byte, error) {
	return s.MarshalAppend(nil, m)
}

// MarshalAppend appends the checksum and the encoded message.
func (s messageEncoding) MarshalAppend(buffer []byte, m drpc.Message) ([]byte, error) {
	start := len(buffer)
	var placeholder [checksumSize]byte
	buffer, err := s.encode(append(buffer, placeholder[:]...), m)
	if err != nil {
		return nil, err
	}
	message := buffer[start:]
	binary.LittleEndian.PutUint64(message, xxhash.Sum64(message[checksumSize:]))
	return buffer, nil
}

// encode appends the message in its form.
func (s messageEncoding) encode(buffer []byte, m drpc.Message) ([]byte, error) {
	if !s.compress || s.compressor == nil {
		return drpcenc.MarshalAppend(m, s.Encoding, append(buffer, formPlain))
	}
	encoded, err := s.Encoding.Marshal(m)
	if err != nil {
		return nil, err
	}
	return s.compressor.compress(buffer, encoded), nil
}

// Unmarshal reads the message where its checksum is right.
func (s messageEncoding) Unmarshal(buffer []byte, m drpc.Message) error {
	if len(buffer) < checksumSize {
		return errChecksumMismatch
	}
	checksum, message := buffer[:checksumSize], buffer[checksumSize:]
	if binary.LittleEndian.Uint64(checksum) != xxhash.Sum64(message) {
		return errChecksumMismatch
	}
	encoded, compressed, err := s.compressor.decode(message)
	if err != nil {
		return err
	}
	if s.wasCompressed != nil {
		*s.wasCompressed = compressed
	}
	return s.Encoding.Unmarshal(encoded, m)
}

// encodedConn is a connection whose messages carry checksums.
type encodedConn struct {
	drpc.Conn
	compressor *Compressor
	compress   bool
}

// Invoke makes one RPC.
func (c encodedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, messageEncoding{Encoding: enc, compressor: c.compressor, compress: c.compress}, in, out)
}

// encodedHandler serves RPCs whose messages carry checksums.
type encodedHandler struct {
	handler    drpc.Handler
	compressor *Compressor
}

// NewHandler returns a handler for RPCs that come over a Pool with the same packer.
func NewHandler(h drpc.Handler, compressor *Compressor) drpc.Handler {
	return encodedHandler{handler: h, compressor: compressor}
}

// HandleRPC serves one RPC.
func (h encodedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	return h.handler.HandleRPC(&encodedStream{Stream: stream, compressor: h.compressor}, rpc)
}

// encodedStream is the server's side of one RPC. It answers in the form in which it was asked.
type encodedStream struct {
	drpc.Stream
	compressor *Compressor
	compress   bool
}

// MsgSend sends a message with its checksum.
func (s *encodedStream) MsgSend(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(m, messageEncoding{Encoding: enc, compressor: s.compressor, compress: s.compress})
}

// MsgRecv receives a message and checks it.
func (s *encodedStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(m, messageEncoding{Encoding: enc, compressor: s.compressor, wasCompressed: &s.compress})
}
