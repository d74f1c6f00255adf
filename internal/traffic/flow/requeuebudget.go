package flow

import (
	"sync"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

// requeueBudget limits how many requests may be offered to the local gate again. A nil requeueBudget sets no limit.
type requeueBudget struct {
	mu     sync.Mutex
	budget *retry.RequeueBudget
}

// newRequeueBudget returns a full budget, or nil without a configuration.
func newRequeueBudget(config *retry.BudgetConfig) *requeueBudget {
	if config == nil {
		return nil
	}
	return &requeueBudget{budget: retry.NewRequeueBudget(*config)}
}

// earn credits the budget for a request that the gate admitted.
func (b *requeueBudget) earn() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Earn()
}

// spend takes one requeue from the budget and reports whether one was left. isMostUrgent is whether no more urgent
// request has arrived recently.
func (b *requeueBudget) spend(isMostUrgent bool) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(isMostUrgent)
}
