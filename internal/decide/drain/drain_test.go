package drain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/drain"
)

// Guards against requests that are accepted in a planned stop and broken off at its end, and against calls of the local
// backend server that are refused although they end in time.
func TestAccepts(t *testing.T) {
	now := time.Now()
	const second = time.Second
	short := drain.Duration{Typical: 50 * time.Millisecond, Longest: 200 * time.Millisecond}
	long := drain.Duration{Typical: 800 * time.Millisecond, Longest: 1200 * time.Millisecond}
	for name, test := range map[string]struct {
		phase drain.Phase
		// left is the time until the end of the drain, and wait that until the deadline.
		left, wait time.Duration
		isCall     bool
		duration   drain.Duration
		want       bool
	}{
		"serving":                              {drain.Serving, 0, 5 * second, false, long, true},
		"closing":                              {drain.Closing, 4 * second, 5 * second, false, long, true},
		"closing, unknown duration":            {drain.Closing, 4 * second, 5 * second, false, drain.Duration{}, true},
		"closing, too long":                    {drain.Closing, second / 2, 5 * second, false, long, false},
		"refusing":                             {drain.Refusing, 2 * second, 5 * second, false, short, false},
		"refusing, ends at its deadline":       {drain.Refusing, 2 * second, second, false, short, false},
		"call":                                 {drain.Refusing, 2 * second, 5 * second, true, short, true},
		"call near the end":                    {drain.Refusing, second / 4, 5 * second, true, short, true},
		"call nearer to the end":               {drain.Refusing, second / 8, 5 * second, true, short, false},
		"call that may take too long":          {drain.Refusing, second, 5 * second, true, long, false},
		"call that ends at its deadline":       {drain.Refusing, second, second / 2, true, long, true},
		"call of unknown duration":             {drain.Refusing, 2 * second, 5 * second, true, drain.Duration{}, false},
		"call of unknown duration, short wait": {drain.Refusing, 2 * second, second, true, drain.Duration{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state := drain.State{Phase: test.phase, End: now.Add(test.left)}
			request := drain.Request{IsCall: test.isCall, Deadline: now.Add(test.wait), Duration: test.duration}
			is.Equal(state.Accepts(now, request), test.want)
		})
	}
}

// Guards against a backend server that is at work on a request when the drain ends, because the request was expected to take less
// time: it must stop before that, with time left for its response.
func TestNoDeadlineIsLaterThanTheLastResponse(t *testing.T) {
	now := time.Now()
	const second, replyTime = time.Second, 200 * time.Millisecond
	for name, test := range map[string]struct {
		phase drain.Phase
		// left is the time until the end of the drain, and wait that until the deadline.
		left, wait time.Duration
		want       drain.Limit
	}{
		"serving":                   {drain.Serving, 0, 5 * second, drain.Limit{Deadline: now.Add(5 * second)}},
		"closing":                   {drain.Closing, 4 * second, 5 * second, drain.Limit{Deadline: now.Add(3800 * time.Millisecond), ReplyGrace: replyTime}},
		"closing, ends before":      {drain.Closing, 4 * second, second, drain.Limit{Deadline: now.Add(second)}},
		"refusing":                  {drain.Refusing, second, 20 * second, drain.Limit{Deadline: now.Add(800 * time.Millisecond), ReplyGrace: replyTime}},
		"refusing, ends right then": {drain.Refusing, second, second, drain.Limit{Deadline: now.Add(800 * time.Millisecond), ReplyGrace: replyTime}},
		"refusing, ends before":     {drain.Refusing, second, 900 * time.Millisecond, drain.Limit{Deadline: now.Add(900 * time.Millisecond)}},
	} {
		t.Run(name, func(t *testing.T) {
			state := drain.State{Phase: test.phase, End: now.Add(test.left), ReplyTime: replyTime}
			is.New(t).Equal(state.Limit(now.Add(test.wait)), test.want)
		})
	}
}
