package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

func TestTurnAgain(t *testing.T) {
	shed := retry.RequeueCandidate{Shed: true, SafeToRepeat: true, AttemptsLeft: 1, TimeLeft: time.Second, HoldTime: 100 * time.Millisecond}
	for name, test := range map[string]struct {
		change func(t *retry.RequeueCandidate)
		wait   time.Duration
		again  bool
	}{
		"shed":                          {func(*retry.RequeueCandidate) {}, 100 * time.Millisecond, true},
		"served":                        {func(t *retry.RequeueCandidate) { t.Shed = false }, 0, false},
		"may have run, not idempotent":  {func(t *retry.RequeueCandidate) { t.SafeToRepeat = false }, 0, false},
		"no attempt left":               {func(t *retry.RequeueCandidate) { t.AttemptsLeft = 0 }, 0, false},
		"no time for another run":       {func(t *retry.RequeueCandidate) { t.TimeLeft = 190 * time.Millisecond }, 0, false},
		"nothing known of the backend":  {func(t *retry.RequeueCandidate) { t.HoldTime = 0 }, 20 * time.Millisecond, true},
		"requests that hold slots long": {func(t *retry.RequeueCandidate) { t.HoldTime = 500 * time.Millisecond }, 250 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			turn := shed
			test.change(&turn)
			wait, again := retry.DecideRequeue(turn)
			is.Equal(wait, test.wait)
			is.Equal(again, test.again)
		})
	}
}

// Pattern: the backend servers of the deepest service shed most requests at random. The most urgent ones get the further turns, and
// all turns together stay a small part of the requests.
func TestTurnsGoToTheMostUrgent(t *testing.T) {
	is := is.New(t)
	const perRequest, kept, urgentEvery, count = 0.1, 8, 10, 2000
	turns := retry.NewRequeueBudget(retry.BudgetConfig{EarnRatio: perRequest, Max: kept})
	urgent, urgentTurns, otherTurns := 0, 0, 0
	for n := range count {
		turns.Earn()
		isUrgent := n%urgentEvery == 0
		if isUrgent {
			urgent++
		}
		if n%2 == 0 && turns.Take(isUrgent) { // shed
			if isUrgent {
				urgentTurns++
			} else {
				otherTurns++
			}
		}
	}
	t.Logf("%d of %d urgent ones, %d others", urgentTurns, urgent, otherTurns)
	is.True(float64(urgentTurns) >= 0.95*float64(urgent))
	is.True(float64(urgentTurns+otherTurns) <= perRequest*count+kept)
}
