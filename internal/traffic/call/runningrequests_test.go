package call_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/lineage"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

func TestChildTimeIncludesOpenCalls(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	running := &call.RunningRequest{}
	is.Equal(running.CallTime(at(0)), time.Duration(0))
	first := running.BeginCall(at(10), 0)
	second := running.BeginCall(at(20), 0) // overlaps the first
	running.EndCall(at(30), first)
	running.EndCall(at(40), second)
	is.Equal(running.CallTime(at(50)), 30*time.Millisecond)
	running.BeginCall(at(60), 0)
	is.Equal(running.CallTime(at(100)), 70*time.Millisecond)
}

// In a flood, requests reach their deadlines while their calls still wait in queues, and no reply reports the queueing
// delay of these calls. The time by which an open call exceeds its typical duration must count as queueing delay.
func TestQueueingDelayIncludesOpenCalls(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	running := &call.RunningRequest{}
	ended := running.BeginCall(start, 50*time.Millisecond)
	running.EndCall(start.Add(80*time.Millisecond), ended)
	running.RecordReply(&call.Reply{Outcome: call.Ran, Status: 200, QueueingDelay: 30 * time.Millisecond})
	running.BeginCall(start.Add(80*time.Millisecond), 50*time.Millisecond)
	is.Equal(running.Downstream(start.Add(100*time.Millisecond)), call.DownstreamSummary{Calls: 2, QueueingDelay: 30 * time.Millisecond})
	is.Equal(running.Downstream(start.Add(480*time.Millisecond)), call.DownstreamSummary{Calls: 2, QueueingDelay: 380 * time.Millisecond})
}

// When calls are assigned to requests by inference, a failed call may have been assigned to another request. A request
// that fails after any calls must therefore not count as a failure of its backend server.
func TestFailureAfterInferredCallsIsDownstream(t *testing.T) {
	for name, test := range map[string]struct {
		calls int
		want  call.Reason
	}{
		"made no calls": {0, call.ReasonNone},
		"made calls":    {2, call.ReasonBackendFailed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			runningRequests := call.NewRunningRequests()
			running := runningRequests.Begin(t.Context(), "a", &call.Request{Kind: "sheets", Deadline: now.Add(time.Second)})
			for n := range test.calls * 20 { // the first ones train the matcher that the kind consists of calls
				later := now.Add(time.Duration(10+n) * time.Millisecond)
				_, _ = runningRequests.Parent(later, lineage.Call{Kind: "keys", Expires: now.Add(time.Second)})
			}
			for range test.calls {
				found, isCall := runningRequests.Parent(now.Add(100*time.Millisecond), lineage.Call{Kind: "keys", Expires: now.Add(time.Second)})
				is.True(isCall)
				is.Equal(found, running)
				running.RecordReply(&call.Reply{Outcome: call.Ran, Status: 200})
			}
			reply := call.Reply{Outcome: call.Ran, Status: 500}
			running.CompleteReply(&reply)
			is.Equal(reply.DownstreamFailure, test.want)
		})
	}
}
