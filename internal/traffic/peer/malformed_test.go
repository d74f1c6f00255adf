package peer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/peerpb"
)

// rawNode answers each call with a message of the test.
type rawNode struct {
	peerpb.DRPCPeerUnimplementedServer

	reply   func(m *peerpb.CallRequest) *peerpb.CallReply
	resolve func() *peerpb.ResolveReply
}

// Call returns the message of the test.
func (n *rawNode) Call(_ context.Context, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return n.reply(m), nil
}

// Resolve returns the message of the test.
func (n *rawNode) Resolve(context.Context, *peerpb.ResolveRequest) (*peerpb.ResolveReply, error) {
	return n.resolve(), nil
}

// Guards against a reply of another node that is none: a caller got its status or its headers, or was told that its request has
// not run, and the connection carried the next request.
func TestMalformedReplyOfANodeIsNone(t *testing.T) {
	const ran, notRun = peerpb.Outcome_OUTCOME_RAN, peerpb.Outcome_OUTCOME_NOT_RUN
	for name, reply := range map[string]*peerpb.CallReply{
		"of another attempt":           {AttemptId: "b", Outcome: ran, Status: 200},
		"without outcome":              {AttemptId: "a", Status: 200},
		"unknown outcome":              {AttemptId: "a", Outcome: 99, Status: 200},
		"status 0":                     {AttemptId: "a", Outcome: ran},
		"status below 0":               {AttemptId: "a", Outcome: ran, Status: -200},
		"informational status":         {AttemptId: "a", Outcome: ran, Status: 101},
		"status of four digits":        {AttemptId: "a", Outcome: ran, Status: 2000},
		"cut headers":                  {AttemptId: "a", Outcome: ran, Status: 200, Headers: []byte("X-Good: 1\nX-B")},
		"blank in a name":              {AttemptId: "a", Outcome: ran, Status: 200, Headers: []byte("X Bad:1\n")},
		"control byte in a name":       {AttemptId: "a", Outcome: ran, Status: 200, Headers: []byte("X-\x01Bad:1\n")},
		"carriage return in a value":   {AttemptId: "a", Outcome: ran, Status: 200, Headers: []byte("X-Bad:1\r\n")},
		"control byte in a value":      {AttemptId: "a", Outcome: ran, Status: 200, Headers: []byte("X-Bad:\x00\n")},
		"not run, blank in a name":     {AttemptId: "a", Outcome: notRun, Status: 503, Reason: "overload", Headers: []byte("X Bad:1\n")},
		"not run, control in reason":   {AttemptId: "a", Outcome: notRun, Status: 503, Reason: "over\r\nload"},
		"not run, of another attempt":  {AttemptId: "b", Outcome: notRun, Status: 503, Reason: "overload"},
		"not run, control in a header": {AttemptId: "a", Outcome: notRun, Status: 503, Reason: "overload", Headers: []byte("X-Bad:\x7f\n")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sound := &peerpb.CallReply{AttemptId: "a", Outcome: ran, Status: 200, Headers: []byte("x-odd!:\xe4\t1\n"), Body: []byte("good")}
			replies := []*peerpb.CallReply{sound, reply, sound}
			counter := &countingListener{}
			client, _, address := startServer(t, &rawNode{reply: func(*peerpb.CallRequest) *peerpb.CallReply {
				next := replies[0]
				replies = replies[1:]
				return next
			}}, time.Minute, counter)
			r := &call.Request{AttemptID: "a", Service: "keys", Kind: "keys", Method: "POST", Path: "/", Deadline: time.Now().Add(time.Second)}
			_, err := client.Call(t.Context(), address, r)
			is.NoErr(err)
			_, err = client.Call(t.Context(), address, r)
			var failure *peer.Error
			is.True(errors.As(err, &failure))
			is.True(failure.Sent) // it may have run
			is.Equal(failure.Reason, call.ReasonCorrupt)
			got, err := client.Call(t.Context(), address, r)
			is.NoErr(err)
			is.Equal(string(got.Body), "good")
			is.Equal(counter.accepted.Load(), int64(2)) // the connection of the malformed reply carries nothing more
		})
	}
}

// Guards against a malformed reply to a query that ends the query, although a new connection would give a sound one, and against
// its connection carrying the next request.
func TestMalformedReplyToAQueryIsNone(t *testing.T) {
	is := is.New(t)
	sound := &peerpb.CallReply{AttemptId: "a", Outcome: peerpb.Outcome_OUTCOME_RAN, Status: 200, Body: []byte("good")}
	replies := []*peerpb.CallReply{{AttemptId: "a", Outcome: peerpb.Outcome_OUTCOME_RAN}, sound}
	counter := &countingListener{}
	client, _, address := startServer(t, &rawNode{
		reply: func(*peerpb.CallRequest) *peerpb.CallReply { return sound },
		resolve: func() *peerpb.ResolveReply {
			next := replies[0]
			replies = replies[1:]
			return &peerpb.ResolveReply{State: peerpb.ResolveReply_STATE_DONE, Reply: next}
		},
	}, time.Minute, counter)
	sendCall(t, client, address, 0)
	got, err := client.Resolve(t.Context(), address, peer.ResolveQuery{AttemptID: "a"}, time.Second)
	is.NoErr(err)
	is.Equal(got.State, outcome.Done)
	is.Equal(string(got.Reply.Body), "good")
	sendCall(t, client, address, 0)
	is.Equal(counter.accepted.Load(), int64(3)) // the first carried a malformed reply, and the second only the query
}
