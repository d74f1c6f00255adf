package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

// All requests fail on all nodes at the same time. The retries of nodes that don't communicate must together stay within
// the limit of the fleet.
func TestFleetRetryLimit(t *testing.T) {
	for name, test := range map[string]struct{ nodes, atMost int }{
		"13 nodes": {13, 36},
		"60 nodes": {60, 60}, // one each, as a node could otherwise never retry
		"3 nodes":  {3, 36},
		"1 node":   {1, 36},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			retried := 0
			for range test.nodes {
				budget := retry.NewBudget(retry.BudgetConfig{EarnRatio: 0.05, Max: 20})
				for range 100 {
					budget.Cap(retry.PerNodeLimit(36, test.nodes))
					failed := retry.Attempt{Idempotent: true, Started: true, AttemptsLeft: 1, TimeLeft: time.Second, Candidates: 2}
					if retry.Decide(failed, budget) == retry.Retry {
						retried++
					}
				}
			}
			is.True(retried <= test.atMost)
			is.True(retried >= min(test.nodes, test.atMost)) // each node can retry
		})
	}
}
