package flow

import (
	"sync"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

// turnBudget is the budget of further turns at the gate of the local backend server. A nil turnBudget bounds nothing.
type turnBudget struct {
	mu    sync.Mutex
	turns *retry.Turns
}

// newTurnBudget returns a full budget, or nil without a configuration.
func newTurnBudget(config *retry.BudgetConfig) *turnBudget {
	if config == nil {
		return nil
	}
	return &turnBudget{turns: retry.NewTurns(*config)}
}

// came adds what a request earns that the gate admitted.
func (b *turnBudget) came() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turns.Came()
}

// take spends a turn and reports whether there was one.
func (b *turnBudget) take(isMostUrgent bool) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.turns.Take(isMostUrgent)
}
