package peer

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// protoEncoding stands for the encoding of the generated code.
type protoEncoding struct{}

func (protoEncoding) Marshal(m drpc.Message) ([]byte, error) {
	return proto.Marshal(m.(proto.Message))
}

func (protoEncoding) Unmarshal(buffer []byte, m drpc.Message) error {
	return proto.Unmarshal(buffer, m.(proto.Message))
}

func TestEveryFlippedBitIsFound(t *testing.T) {
	headers := []*peerpb.Header{{Name: "X", Value: "y"}}
	body := bytes.Repeat([]byte("ballroom"), 100)
	for name, sent := range map[string]proto.Message{
		"request":           &peerpb.CallRequest{AttemptId: "a", Key: "k", Rank: 3, Path: "/bookings", Headers: headers},
		"request with body": &peerpb.CallRequest{AttemptId: "a", Key: "k", Rank: 3, Path: "/bookings", Body: body},
		"reply with body":   &peerpb.CallReply{AttemptId: "a", Outcome: peerpb.Outcome_OUTCOME_RAN, Status: 200, Headers: headers, Body: body},
		"resolved reply":    &peerpb.ResolveReply{State: peerpb.ResolveReply_STATE_DONE, Reply: &peerpb.CallReply{AttemptId: "a", Body: body}},
		"keys handed over":  &peerpb.HandoverRequest{Keys: []*peerpb.RememberedKey{{Key: "k", Reply: &peerpb.CallReply{Body: body}}}},
	} {
		t.Run(name, func(t *testing.T) { everyFlippedBitIsFound(t, sent) })
	}
}

func everyFlippedBitIsFound(t *testing.T, sent proto.Message) {
	is := is.New(t)
	enc := sealed{protoEncoding{}}
	encoded, err := enc.Marshal(sent)
	is.NoErr(err)
	received := sent.ProtoReflect().New().Interface()
	for bit := range 8 * len(encoded) {
		encoded[bit/8] ^= 1 << (bit % 8)
		is.Equal(enc.Unmarshal(encoded, received), errDamaged)
		encoded[bit/8] ^= 1 << (bit % 8)
	}
	is.NoErr(enc.Unmarshal(encoded, received))
	is.True(proto.Equal(sent, received))
	is.Equal(enc.Unmarshal(encoded[:3], received), errDamaged)
}
