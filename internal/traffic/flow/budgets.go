package flow

import (
	"sync"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/retry"
)

// Budgets are the retry budgets of all services on this node, one for each. The Sender and the Home charge the same
// ones.
type Budgets struct {
	config retry.BudgetConfig

	mu        sync.Mutex
	byService map[string]*retry.Budget
}

// NewBudgets returns full budgets.
func NewBudgets(config retry.BudgetConfig) *Budgets {
	return &Budgets{config: config, byService: map[string]*retry.Budget{}}
}

// earn adds what a good answer of the service earns.
func (b *Budgets) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Earn()
}

// decide applies the rules to a failed attempt and charges the service's budget where it may be tried again.
func (b *Budgets) decide(service string, a retry.Attempt) retry.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return retry.Decide(a, b.budgetOf(service))
}

// limitToShare lowers what is kept for the service to this node's part of what the fleet may make at once.
func (b *Budgets) limitToShare(service string, fleetRetries float64, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Cap(retry.PerNodeLimit(fleetRetries, nodes))
}

// tokens returns what is left of each.
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
