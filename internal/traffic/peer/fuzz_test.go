package peer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// FuzzParseRequest checks that no bytes from another node make parseRequest panic, and that accepted requests are
// within bounds.
func FuzzParseRequest(f *testing.F) {
	valid, err := proto.Marshal(requestMessage(&call.Request{
		AttemptID: "a",
		Service:   "bookings",
		Kind:      "booking",
		Method:    "POST",
		Path:      "/bookings",
		Body:      []byte("a ballroom"),
	}, "node_1", 0, time.UnixMilli(0)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid, uint(0))
	f.Add([]byte{0x0a, 0x00}, uint(9))
	f.Fuzz(func(t *testing.T, bytes []byte, bit uint) {
		var m peerpb.CallRequest
		if proto.Unmarshal(bytes, &m) != nil {
			return
		}
		r, err := parseRequest(&m, time.UnixMilli(0))
		if err != nil {
			return
		}
		if r.Root.Rank < 0 || r.Root.Rank >= admission.Ranks || r.Depth < 0 || r.AttemptsLeft < 0 {
			t.Errorf("accepted a request that is out of bounds: %+v", r)
		}
		checkDamageDetected(t, &m, bit)
	})
}

// FuzzCheckReply checks that a reply is accepted only for its own attempt and only if it is undamaged.
func FuzzCheckReply(f *testing.F) {
	valid, err := proto.Marshal(replyMessage("a", call.Reply{Outcome: call.Ran, Status: 200, Body: []byte("done")}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid, uint(0))
	f.Fuzz(func(t *testing.T, bytes []byte, bit uint) {
		var m peerpb.CallReply
		if proto.Unmarshal(bytes, &m) != nil || checkReply(&call.Request{AttemptID: "a"}, &m) != nil {
			return
		}
		if m.GetAttemptId() != "a" {
			t.Errorf("accepted a reply to another attempt: %+v", &m)
		}
		checkDamageDetected(t, &m, bit)
	})
}

// checkDamageDetected fails the test if the message with the bit flipped is decoded, or if the undamaged message is not.
func checkDamageDetected(t *testing.T, m proto.Message, bit uint) {
	t.Helper()
	enc := messageEncoding{Encoding: protoEncoding{}}
	encoded, err := enc.Marshal(m)
	if err != nil {
		return
	}
	read := m.ProtoReflect().New().Interface()
	if err := enc.Unmarshal(encoded, read); err != nil || !proto.Equal(read, m) {
		t.Errorf("an undamaged message was not decoded: %v", err)
	}
	bit %= uint(8 * len(encoded))
	encoded[bit/8] ^= 1 << (bit % 8)
	if enc.Unmarshal(encoded, read) == nil {
		t.Errorf("accepted a message with bit %d flipped", bit)
	}
}
