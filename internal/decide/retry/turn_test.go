package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

func TestTurnAgain(t *testing.T) {
	shed := retry.Turn{Shed: true, Safe: true, AttemptsLeft: 1, TimeLeft: time.Second, HoldTime: 100 * time.Millisecond}
	for name, test := range map[string]struct {
		change func(t *retry.Turn)
		wait   time.Duration
		again  bool
	}{
		"shed":                          {func(*retry.Turn) {}, 100 * time.Millisecond, true},
		"served":                        {func(t *retry.Turn) { t.Shed = false }, 0, false},
		"may have run, not idempotent":  {func(t *retry.Turn) { t.Safe = false }, 0, false},
		"no attempt left":               {func(t *retry.Turn) { t.AttemptsLeft = 0 }, 0, false},
		"no time for another run":       {func(t *retry.Turn) { t.TimeLeft = 190 * time.Millisecond }, 0, false},
		"nothing known of the backend":  {func(t *retry.Turn) { t.HoldTime = 0 }, 20 * time.Millisecond, true},
		"requests that hold slots long": {func(t *retry.Turn) { t.HoldTime = 500 * time.Millisecond }, 250 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			turn := shed
			test.change(&turn)
			wait, again := retry.TurnAgain(turn)
			is.Equal(wait, test.wait)
			is.Equal(again, test.again)
		})
	}
}
