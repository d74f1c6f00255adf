package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCheckDelay(t *testing.T) {
	tests := map[string]struct {
		duration time.Duration
		want     time.Duration
	}{
		"unknown":        {0, minCheckDelay},
		"fast kind":      {10 * time.Millisecond, minCheckDelay},
		"slow kind":      {400 * time.Millisecond, 800 * time.Millisecond},
		"very slow kind": {5 * time.Second, maxCheckDelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTypicalDurations()
			k := requestKind{service: "venues", kind: "halls"}
			for range 100 {
				p.observe(k, test.duration)
			}
			is.Equal(p.checkDelay(k), test.want)
			is.Equal(p.checkDelay(requestKind{service: "venues", kind: "schedules"}), minCheckDelay)
		})
	}
}
