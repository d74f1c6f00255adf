package peer

import (
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
	is := is.New(t)
	enc := sealed{protoEncoding{}}
	sent := &peerpb.CallRequest{AttemptId: "a", Key: "k", Rank: 3, Path: "/bookings", Headers: []*peerpb.Header{{Name: "X", Value: "y"}}}
	encoded, err := enc.Marshal(sent)
	is.NoErr(err)
	for bit := range 8 * len(encoded) {
		encoded[bit/8] ^= 1 << (bit % 8)
		is.Equal(enc.Unmarshal(encoded, &peerpb.CallRequest{}), errDamaged)
		encoded[bit/8] ^= 1 << (bit % 8)
	}
	received := &peerpb.CallRequest{}
	is.NoErr(enc.Unmarshal(encoded, received))
	is.True(proto.Equal(sent, received))
	is.Equal(enc.Unmarshal(encoded[:3], received), errDamaged)
}
