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
		"unknown":             {0, progressBound},
		"quick work":          {10 * time.Millisecond, progressBound},
		"work that is slow":   {400 * time.Millisecond, 800 * time.Millisecond},
		"work that is slower": {5 * time.Second, maxProgressBound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPaces()
			k := workKind{service: "venues", kind: "halls"}
			for range 100 {
				p.learn(k, test.usual)
			}
			is.Equal(p.bound(k), test.want)
			is.Equal(p.bound(workKind{service: "venues", kind: "schedules"}), progressBound)
		})
	}
}
