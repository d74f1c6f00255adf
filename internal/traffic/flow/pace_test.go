package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPaceBounds(t *testing.T) {
	tests := map[string]struct {
		usual time.Duration
		want  time.Duration
	}{
		"unknown":             {0, minCheckDelay},
		"quick work":          {10 * time.Millisecond, minCheckDelay},
		"work that is slow":   {400 * time.Millisecond, 800 * time.Millisecond},
		"work that is slower": {5 * time.Second, maxCheckDelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTypicalDurations()
			k := workKind{service: "venues", kind: "halls"}
			for range 100 {
				p.observe(k, test.usual)
			}
			is.Equal(p.checkDelay(k), test.want)
			is.Equal(p.checkDelay(workKind{service: "venues", kind: "schedules"}), minCheckDelay)
		})
	}
}
