package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

func TestDecideRequeue(t *testing.T) {
	shed := retry.RequeueCandidate{Shed: true, SafeToRepeat: true, AttemptsLeft: 1, TimeLeft: time.Second, HoldTime: 100 * time.Millisecond}
	for name, test := range map[string]struct {
		change func(c *retry.RequeueCandidate)
		delay  time.Duration
		again  bool
	}{
		"shed":                         {func(*retry.RequeueCandidate) {}, 100 * time.Millisecond, true},
		"served":                       {func(c *retry.RequeueCandidate) { c.Shed = false }, 0, false},
		"may have run, not idempotent": {func(c *retry.RequeueCandidate) { c.SafeToRepeat = false }, 0, false},
		"no attempt left":              {func(c *retry.RequeueCandidate) { c.AttemptsLeft = 0 }, 0, false},
		"no time for another run":      {func(c *retry.RequeueCandidate) { c.TimeLeft = 190 * time.Millisecond }, 0, false},
		"hold time unknown":            {func(c *retry.RequeueCandidate) { c.HoldTime = 0 }, 20 * time.Millisecond, true},
		"long hold time":               {func(c *retry.RequeueCandidate) { c.HoldTime = 500 * time.Millisecond }, 250 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			candidate := shed
			test.change(&candidate)
			delay, again := retry.DecideRequeue(candidate)
			is.Equal(delay, test.delay)
			is.Equal(again, test.again)
		})
	}
}

// The backend servers of the deepest service shed regardless of rank: here every second request, and with these all of the
// most urgent ones. The most urgent requests must get the requeues that they need, and all requeues together must stay a
// small fraction of the requests.
func TestRequeueBudgetPrefersMostUrgent(t *testing.T) {
	is := is.New(t)
	const perRequest, capacity, urgentEvery, count = 0.1, 8, 10, 2000
	budget := retry.NewRequeueBudget(retry.BudgetConfig{EarnRatio: perRequest, Max: capacity})
	urgent, urgentRequeues, otherRequeues := 0, 0, 0
	for n := range count {
		budget.Earn()
		isUrgent := n%urgentEvery == 0
		if isUrgent {
			urgent++
		}
		if n%2 == 0 && budget.Take(isUrgent) { // shed
			if isUrgent {
				urgentRequeues++
			} else {
				otherRequeues++
			}
		}
	}
	t.Logf("%d requeues for %d urgent requests, %d for others", urgentRequeues, urgent, otherRequeues)
	is.True(float64(urgentRequeues) >= 0.95*float64(urgent))
	is.True(float64(urgentRequeues+otherRequeues) <= perRequest*count+capacity)
}
