package peer

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// BenchmarkExchange encodes and decodes a request and its reply, without a connection.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 16 << 10, 256 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			enc := messageEncoding{Encoding: protoEncoding{}}
			r := &call.Request{AttemptID: "a", Service: "bookings", Kind: "booking", Method: "POST", Path: "/bookings", Body: bytes.Repeat([]byte("x"), size)}
			reply := call.Reply{Outcome: call.Ran, Status: 200, Body: r.Body}
			b.ReportAllocs()
			for b.Loop() {
				exchange(b, enc, r, reply)
			}
		})
	}
}

func exchange(b *testing.B, enc messageEncoding, r *call.Request, reply call.Reply) {
	now := time.UnixMilli(0)
	sent, err := enc.Marshal(requestMessage(r, "node_1", 0, now))
	if err != nil {
		b.Fatal(err)
	}
	var received peerpb.CallRequest
	if err := enc.Unmarshal(sent, &received); err != nil {
		b.Fatal(err)
	}
	if _, err := parseRequest(&received, now); err != nil {
		b.Fatal(err)
	}
	sentReply, err := enc.Marshal(replyMessage("a", reply))
	if err != nil {
		b.Fatal(err)
	}
	var receivedReply peerpb.CallReply
	if err := enc.Unmarshal(sentReply, &receivedReply); err != nil {
		b.Fatal(err)
	}
	if err := checkReply(r, &receivedReply); err != nil {
		b.Fatal(err)
	}
}
