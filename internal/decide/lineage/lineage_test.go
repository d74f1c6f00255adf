package lineage_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/lineage"
)

var start = time.Now()

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// trainedMatcher returns a matcher that has observed calls of the kind "keys".
func trainedMatcher() *lineage.Matcher {
	m := lineage.NewMatcher()
	for n := range 100 {
		running := []lineage.RunningRequest{{Kind: "sheets", Started: at(-50), Deadline: at(700 - n)}}
		_, _ = m.Match(at(0), lineage.Call{Kind: "keys", Expires: at(700 - n)}, running)
	}
	return m
}

func TestMatch(t *testing.T) {
	running := []lineage.RunningRequest{
		{Kind: "sheets", Started: at(0), Deadline: at(1200), LastCallEnd: at(40)},
		{Kind: "sheets", Started: at(40), Deadline: at(900), LastCallEnd: at(98)},
		{Kind: "sheets", Started: at(50), Deadline: at(1300), HasOpenCall: true},
		{Kind: "sheets", Started: at(100), Deadline: at(2000)},
		{Kind: "browse", Started: at(10), Deadline: at(1900), LastCallEnd: at(99)},
	}
	for name, test := range map[string]struct {
		expires int
		running []lineage.RunningRequest
		want    int
		isCall  bool
	}{
		"deadline of its request":                   {1200, running, 0, true},
		"shorter timeout, after the last call":      {700, running, 1, true},
		"shorter timeout, outlasts the last parent": {1000, running, 0, true},
		"outlasts all parents that can call now":    {1250, running, lineage.Unknown, true},
		"only requests that make no such calls run": {700, running[4:], lineage.Unknown, true},
		"deadline of such a request by chance":      {1900, running[4:], lineage.Unknown, true},
		"outlasts all by less than the transit":     {2200, running, lineage.Unknown, true},
		"outlasts all":                              {2300, running, lineage.Unknown, false},
		"nothing runs":                              {700, nil, lineage.Unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			index, ok := trainedMatcher().Match(at(100), lineage.Call{Kind: "keys", Expires: at(test.expires)}, test.running)
			is.Equal(ok, test.isCall) // the kind counts as calls in every case
			is.Equal(index, test.want)
		})
	}
}

// About half of the calls have a shorter timeout than their request. Nearly all calls must soon be recognized.
func TestCallsAreRecognized(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	m := lineage.NewMatcher()
	recognized := 0
	for n := range 200 {
		now := at(10 * n)
		deadline := now.Add(time.Duration(200+random.IntN(1000)) * time.Millisecond)
		expires := now.Add(time.Duration(600+random.IntN(100)) * time.Millisecond)
		if deadline.Before(expires) {
			expires = deadline
		}
		running := []lineage.RunningRequest{{Started: now.Add(-30 * time.Millisecond), Deadline: deadline}}
		if _, ok := m.Match(now, lineage.Call{Kind: "keys", Expires: expires}, running); ok && n >= 50 {
			recognized++
		}
	}
	is.True(recognized > 140)
}

// Callers' requests that have the deadline of a running request by chance must not be taken for calls.
func TestCallersAreNotTakenForCalls(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	m := lineage.NewMatcher()
	misclassified := 0
	for n := range 500 {
		now := at(10 * n)
		var running []lineage.RunningRequest
		for range 40 {
			running = append(running, lineage.RunningRequest{
				Started:  now.Add(-30 * time.Millisecond),
				Deadline: now.Add(time.Duration(random.IntN(1500)) * time.Millisecond),
			})
		}
		expires := now.Add(1200 * time.Millisecond)
		if n%5 == 0 {
			expires = now.Add(time.Duration(random.IntN(1200)) * time.Millisecond) // a retry with the remaining time
		}
		if _, ok := m.Match(now, lineage.Call{Kind: "window", Expires: expires}, running); ok && n >= 50 {
			misclassified++
		}
	}
	is.Equal(misclassified, 0)
}
