package flow

import (
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

// Turns is the budget of the requests that get another turn at the gate of one backend server. A nil Turns allows none.
type Turns struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// NewTurns returns a full budget.
func NewTurns(config retry.BudgetConfig) *Turns {
	return &Turns{budget: retry.NewBudget(config)}
}

// earn adds what a good answer earns.
func (t *Turns) earn() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.Earn()
}

// again decides on another turn, which it charges, and returns when it is due.
func (t *Turns) again(turn retry.Turn) (time.Duration, bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return retry.TurnAgain(turn, t.budget)
}
