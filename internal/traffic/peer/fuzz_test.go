package peer

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// FuzzParseRequest checks that no bytes from another node break the reader, and that what it accepts is in bounds.
func FuzzParseRequest(f *testing.F) {
	whole, err := proto.Marshal(requestMessage(&call.Request{
		AttemptID: "a",
		Service:   "bookings",
		Kind:      "booking",
		Method:    "POST",
		Path:      "/bookings",
		Body:      []byte("a ballroom"),
	}, "node_1", time.UnixMilli(0)))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte{0x0a, 0x00})
	f.Fuzz(func(t *testing.T, bytes []byte) {
		var m peerpb.CallRequest
		if proto.Unmarshal(bytes, &m) != nil {
			return
		}
		r, err := parseRequest(&m, time.UnixMilli(0))
		if err != nil {
			return
		}
		if r.Root.Rank < 0 || r.Root.Rank >= admission.Ranks || r.Depth < 0 || r.AttemptsLeft < 0 {
			t.Errorf("accepted out of bounds: %+v", r)
		}
		if m.GetBodyChecksum() != xxhash.Sum64(r.Body) {
			t.Errorf("accepted a damaged body")
		}
	})
}

// FuzzCheckReply checks that an answer is taken only for its own attempt and only when whole.
func FuzzCheckReply(f *testing.F) {
	whole, err := proto.Marshal(replyMessage("a", call.Reply{Outcome: call.Ran, Status: 200, Body: []byte("done")}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Fuzz(func(t *testing.T, bytes []byte) {
		var m peerpb.CallReply
		if proto.Unmarshal(bytes, &m) != nil || checkReply(&call.Request{AttemptID: "a"}, &m) != nil {
			return
		}
		reply := replyOf(&m)
		if m.GetAttemptId() != "a" || m.GetBodyChecksum() != xxhash.Sum64(reply.Body) {
			t.Errorf("accepted another's or a damaged answer: %+v", &m)
		}
	})
}
