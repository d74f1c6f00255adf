package call_test

import (
	"context"
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// callTree simulates one root request with random calls, failures, lost replies and replies sent before all calls ended.
type callTree struct {
	t       *rapid.T
	depth   int
	calls   int
	retries int
	runs    []int
}

func (c *callTree) draw(label string) bool {
	return rapid.IntRange(0, 2).Draw(c.t, label) == 0
}

// send sends one request to a backend server at the given level of the tree, and retries it until it succeeds or no retry
// is allowed.
func (c *callTree) send(allowance *call.AttemptAllowance, level int) (failed bool) {
	for {
		lent := allowance.Lend()
		reply := c.run(level, lent)
		if c.draw("lost") {
			reply = call.Reply{Outcome: call.Unknown, Reason: call.ReasonPeerUnreachable, AttemptsUsed: lent}
		}
		allowance.Return(lent, reply.AttemptsUsed)
		if reply.Failure() == call.ReasonNone {
			return false
		}
		attempt := retry.Attempt{
			Idempotent:       true,
			FailedDownstream: reply.DownstreamFailure != call.ReasonNone,
			AttemptsLeft:     allowance.Left(),
			TimeLeft:         retry.MinTimeLeft,
			Candidates:       1,
		}
		budget := retry.NewBudget(retry.BudgetConfig{Max: 1})
		if retry.Decide(attempt, budget) == retry.GiveUp || !allowance.Take() {
			return true
		}
		c.retries++
	}
}

// run executes a request on a backend server at the given level. Besides its sequential calls, the backend server may
// make one parallel call, and may reply before that call has ended.
func (c *callTree) run(level, lent int) call.Reply {
	c.runs[level]++
	running := call.NewRunningRequests().Begin(c.t.Context(), "token", &call.Request{AttemptsLeft: lent})
	reply := call.Reply{Outcome: call.Ran, Status: 200}
	if c.draw("failed") {
		reply.Status = 500
	}
	if level+1 == c.depth {
		return reply
	}
	parallelLent, parallel := 0, c.draw("parallel")
	if parallel {
		parallelLent = running.Attempts.Lend()
	}
	for range c.calls {
		if c.send(running.Attempts, level+1) {
			refused := call.Refused(call.NotRun, call.ReasonOverload, 0)
			running.RecordReply(&refused)
			reply.Status = 503
		}
	}
	if parallel && !c.draw("answered early") {
		c.finishLentCall(running.Attempts, parallelLent, level+1)
		parallel = false
	}
	running.CompleteReply(&reply)
	if parallel {
		c.finishLentCall(running.Attempts, parallelLent, level+1)
	}
	return reply
}

// finishLentCall executes a call to which attempts were lent earlier and returns the unused ones to the allowance, which
// may be closed by then.
func (c *callTree) finishLentCall(allowance *call.AttemptAllowance, lent, level int) {
	reply := c.run(level, lent)
	allowance.Return(lent, reply.AttemptsUsed)
}

func TestAttemptsNeverExceedTheAllowance(t *testing.T) {
	is := is.New(t)
	is.NoErr(flag.Set("rapid.checks", "3000"))
	is.NoErr(flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(rt *rapid.T) {
		tree := &callTree{
			t:     rt,
			depth: rapid.IntRange(1, 6).Draw(rt, "depth"),
			calls: rapid.IntRange(1, 2).Draw(rt, "calls"),
		}
		tree.runs = make([]int, tree.depth)
		allowance := rapid.IntRange(0, 5).Draw(rt, "allowance")
		tree.send(call.NewAttemptAllowance(allowance), 0)
		if tree.retries > allowance {
			rt.Fatalf("%d retries with an allowance of %d", tree.retries, allowance)
		}
		width := 1
		for level, runs := range tree.runs {
			if runs > width*(1+allowance) {
				rt.Fatalf("%d runs at level %d of width %d with an allowance of %d", runs, level, width, allowance)
			}
			width *= tree.calls + 1
		}
	})
}

func TestAttemptsReturnedLate(t *testing.T) {
	is := is.New(t)
	allowance := call.NewAttemptAllowance(3)
	first, second := allowance.Lend(), allowance.Lend()
	is.Equal(first, 2)
	is.Equal(second, 1) // the rest stays for a parallel call
	allowance.Return(first, 0)
	is.Equal(allowance.Close(), 1) // attempts that are still lent count as used
	allowance.Return(second, 0)
	is.Equal(allowance.Left(), 0)
	is.True(!allowance.Take())
}

func TestReplyFailure(t *testing.T) {
	for name, test := range map[string]struct {
		reply call.Reply
		want  call.Reason
	}{
		"successful reply": {call.Reply{Outcome: call.Ran, Status: 200}, call.ReasonNone},
		"not found":        {call.Reply{Outcome: call.Ran, Status: 404}, call.ReasonNone},
		"shed by server":   {call.Reply{Outcome: call.Ran, Status: 503}, call.ReasonOverload},
		"server error":     {call.Reply{Outcome: call.Ran, Status: 500}, call.ReasonBackendFailed},
		"refused":          {call.Refused(call.NotRun, call.ReasonDraining, 0), call.ReasonDraining},
		"without a reason": {call.Reply{Outcome: call.Unknown}, call.ReasonBackendFailed},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.reply.Failure(), test.want)
		})
	}
}

func TestTokenOfCanceledRequest(t *testing.T) {
	is := is.New(t)
	chains := call.NewRunningRequests()
	running, cancel := context.WithCancel(t.Context())
	chains.Begin(running, "canceled", &call.Request{})
	chains.Begin(t.Context(), "answered", &call.Request{})
	cancel()
	chains.End("canceled")
	chains.End("answered")
	is.True(chains.IsCanceled("canceled"))
	is.True(!chains.IsCanceled("answered"))
	is.True(!chains.IsCanceled("never seen"))
	is.True(chains.Find("answered") == nil)
}
