package liveness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/liveness"
)

const interval = 500 * time.Millisecond

// announce records announcements at the given interval and returns the time of the last one.
func announce(t *liveness.Tracker, start time.Time, count int, gap time.Duration) time.Time {
	for i := range count {
		t.Announced(start.Add(time.Duration(i) * gap))
	}
	return start.Add(time.Duration(count-1) * gap)
}

func TestState(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		do   func(t *liveness.Tracker) time.Time // returns the time of the check
		want liveness.State
	}{
		"nothing is known": {
			do:   func(*liveness.Tracker) time.Time { return start },
			want: liveness.Alive,
		},
		"a refused connection": {
			do:   func(t *liveness.Tracker) time.Time { t.ConnectionRefused(); return start },
			want: liveness.Refusing,
		},
		"announcements alone don't clear a refused connection": {
			do: func(t *liveness.Tracker) time.Time {
				t.ConnectionRefused()
				return announce(t, start, 10, interval)
			},
			want: liveness.Refusing,
		},
		"an accepted connection after a refused one": {
			do:   func(t *liveness.Tracker) time.Time { t.ConnectionRefused(); t.ConnectionAccepted(); return start },
			want: liveness.Alive,
		},
		"a broken connection is no evidence": {
			do:   func(t *liveness.Tracker) time.Time { t.ConnectionBroken(); return start },
			want: liveness.Alive,
		},
		"an answer after a refused connection": {
			do:   func(t *liveness.Tracker) time.Time { t.ConnectionRefused(); t.Responded(start); return start },
			want: liveness.Alive,
		},
		"regular announcements stop": {
			do: func(t *liveness.Tracker) time.Time {
				return announce(t, start, 10, interval).Add(1600 * time.Millisecond)
			},
			want: liveness.Silent,
		},
		"regular announcements stop for less than three intervals": {
			do: func(t *liveness.Tracker) time.Time {
				return announce(t, start, 10, interval).Add(1400 * time.Millisecond)
			},
			want: liveness.Alive,
		},
		"announcements stop, and answers go on": {
			do: func(t *liveness.Tracker) time.Time {
				end := announce(t, start, 10, interval).Add(time.Minute)
				t.Responded(end)
				return end.Add(time.Second)
			},
			want: liveness.Alive,
		},
		"accepted connections alone don't clear silence": {
			do: func(t *liveness.Tracker) time.Time {
				end := announce(t, start, 10, interval).Add(time.Minute)
				t.ConnectionAccepted()
				return end
			},
			want: liveness.Silent,
		},
		"a single announcement": {
			do:   func(t *liveness.Tracker) time.Time { return announce(t, start, 1, interval).Add(time.Hour) },
			want: liveness.Alive,
		},
		"announcements that were never regular": {
			do:   func(t *liveness.Tracker) time.Time { return announce(t, start, 10, time.Minute).Add(time.Hour) },
			want: liveness.Alive,
		},
		"announced again after silence": {
			do: func(t *liveness.Tracker) time.Time {
				end := announce(t, start, 10, interval).Add(time.Minute)
				t.Announced(end)
				return end.Add(time.Second)
			},
			want: liveness.Alive,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := liveness.NewTracker()
			now := c.do(tracker)
			is.Equal(tracker.State(now), c.want)
		})
	}
}

func TestProbes(t *testing.T) {
	cases := map[string]struct {
		do   func(t *liveness.Tracker)
		want bool
	}{
		"nothing is known":              {do: func(*liveness.Tracker) {}, want: false},
		"refused":                       {do: func(t *liveness.Tracker) { t.ConnectionRefused() }, want: true},
		"broken":                        {do: func(t *liveness.Tracker) { t.ConnectionBroken() }, want: true},
		"broken, then accepted":         {do: func(t *liveness.Tracker) { t.ConnectionBroken(); t.ConnectionAccepted() }, want: false},
		"broken, then answered":         {do: func(t *liveness.Tracker) { t.ConnectionBroken(); t.Responded(time.Unix(1, 0)) }, want: false},
		"refused, accepted and refused": {do: func(t *liveness.Tracker) { t.ConnectionRefused(); t.ConnectionAccepted(); t.ConnectionRefused() }, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := liveness.NewTracker()
			c.do(tracker)
			is.Equal(tracker.NeedsProbe(), c.want)
		})
	}
}
