package flow

import (
	"sync"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

// Budgets holds one retry budget for each service. The Sender and the KeyOwner of a node share them.
type Budgets struct {
	config retry.BudgetConfig

	mu        sync.Mutex
	byService map[string]*retry.Budget
}

// NewBudgets returns an empty set. The budget of a service is created full, at its first use.
func NewBudgets(config retry.BudgetConfig) *Budgets {
	return &Budgets{config: config, byService: map[string]*retry.Budget{}}
}

// earn credits the budget of the service for a successful reply.
func (b *Budgets) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Earn()
}

// decide reports whether a failed attempt may be retried. If so, it charges the retry to the budget of the service.
func (b *Budgets) decide(service string, a retry.Attempt) retry.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Decide(a, b.budgetOf(service))
}

// limitToShare limits the budget of the service to this node's share of the retries that all nodes together may make in a
// burst.
func (b *Budgets) limitToShare(service string, fleetRetries float64, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Cap(retry.PerNodeLimit(fleetRetries, nodes))
}

// tokens returns the tokens left in the budget of each service.
func (b *Budgets) tokens() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := make(map[string]float64, len(b.byService))
	for service, budget := range b.byService {
		tokens[service] = budget.Tokens()
	}
	return tokens
}

func (b *Budgets) budgetOf(service string) *retry.Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = retry.NewBudget(b.config)
		b.byService[service] = budget
	}
	return budget
}
