package peer

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// protoEncoding replaces the encoding of the generated code.
type protoEncoding struct{}

func (protoEncoding) Marshal(m drpc.Message) ([]byte, error) {
	return proto.Marshal(m.(proto.Message))
}

func (protoEncoding) Unmarshal(buffer []byte, m drpc.Message) error {
	return proto.Unmarshal(buffer, m.(proto.Message))
}

// TestBitFlipsAreDetected checks that flipping any single bit of a message makes the checksum fail.
func TestBitFlipsAreDetected(t *testing.T) {
	headers := encodeHeaders(http.Header{"X": {"y"}})
	body := bytes.Repeat([]byte("ballroom"), 100)
	for name, sent := range map[string]proto.Message{
		"request":           &peerpb.CallRequest{AttemptId: "a", Key: "k", Rank: 3, Path: "/bookings", Headers: headers},
		"request with body": &peerpb.CallRequest{AttemptId: "a", Key: "k", Rank: 3, Path: "/bookings", Body: body},
		"reply with body":   &peerpb.CallReply{AttemptId: "a", Outcome: peerpb.Outcome_OUTCOME_RAN, Status: 200, Headers: headers, Body: body},
		"resolved reply":    &peerpb.ResolveReply{State: peerpb.ResolveReply_STATE_DONE, Reply: &peerpb.CallReply{AttemptId: "a", Body: body}},
		"keys handed over":  &peerpb.HandoverRequest{Keys: []*peerpb.RememberedKey{{Key: "k", Reply: &peerpb.CallReply{Body: body}}}},
	} {
		t.Run(name, func(t *testing.T) { testEncodingsDetectBitFlips(t, sent) })
	}
}

func testEncodingsDetectBitFlips(t *testing.T, sent proto.Message) {
	t.Helper()
	compressor, err := NewCompressor("X-Some-Header")
	is.New(t).NoErr(err)
	for name, enc := range map[string]messageEncoding{
		"plain":      {Encoding: protoEncoding{}},
		"compressed": {Encoding: protoEncoding{}, compressor: compressor, compress: true},
	} {
		t.Run(name, func(t *testing.T) { testBitFlips(t, enc, sent) })
	}
}

func testBitFlips(t *testing.T, enc messageEncoding, sent proto.Message) {
	is := is.New(t)
	encoded, err := enc.Marshal(sent)
	is.NoErr(err)
	received := sent.ProtoReflect().New().Interface()
	for bit := range 8 * len(encoded) {
		encoded[bit/8] ^= 1 << (bit % 8)
		is.Equal(enc.Unmarshal(encoded, received), errChecksumMismatch)
		encoded[bit/8] ^= 1 << (bit % 8)
	}
	is.NoErr(enc.Unmarshal(encoded, received))
	is.True(proto.Equal(sent, received))
	is.Equal(enc.Unmarshal(encoded[:3], received), errChecksumMismatch)
}

// TestCompressedMessagesAreSmaller checks that compression pays off for a typical request. Bytes sent between
// availability zones are the largest cost of a call.
func TestCompressedMessagesAreSmaller(t *testing.T) {
	is := is.New(t)
	compressor, err := NewCompressor("X-Request-Name", "X-Calling-Service")
	is.NoErr(err)
	id := "b5d47934b518c678.858882962b8c3d29.360816f9491c73f4"
	request := &peerpb.CallRequest{
		AttemptId: "2fj49fk3m2k1", RootId: id, Service: "keys", Kind: "key_lookup", Method: "GET", Path: "/keys/44?page=1",
		Headers: encodeHeaders(http.Header{
			"Accept": {"*/*"}, "Accept-Encoding": {"identity"}, "Host": {"keys.example"},
			"User-Agent": {"sdk-client/1.9.3"}, "X-Request-Name": {id}, "X-Calling-Service": {"stock"},
		}),
	}
	plain, err := messageEncoding{Encoding: protoEncoding{}}.Marshal(request)
	is.NoErr(err)
	compressed, err := messageEncoding{Encoding: protoEncoding{}, compressor: compressor, compress: true}.Marshal(request)
	is.NoErr(err)
	is.True(len(compressed) < len(plain))
}
