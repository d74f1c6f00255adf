package flow

import (
	"sync"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

// requeueBudget is the budget of further turns at the gate of the local backend server. A nil turnBudget bounds nothing.
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

// earn adds what a request earns that the gate admitted.
func (b *requeueBudget) earn() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Earn()
}

// spend spends a turn and reports whether there was one.
func (b *requeueBudget) spend(isMostUrgent bool) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(isMostUrgent)
}
