package flow

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
)

// SenderStats are what a Sender goes by when it chooses instances and allows further attempts.
type SenderStats struct {
	// Instances are the views of the instances that were called or may be, by node.
	Instances map[string]routing.Stats `json:"instances"`
	// Budgets are the further attempts that each service's successes have earned.
	Budgets map[string]float64 `json:"budgets"`
}

// Stats returns what the sender goes by.
func (s *Sender) Stats(now time.Time) SenderStats {
	return SenderStats{Instances: s.views.stats(now), Budgets: s.tokens()}
}

func (s *Sender) tokens() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := make(map[string]float64, len(s.budgets))
	for service, b := range s.budgets {
		tokens[service] = b.Tokens()
	}
	return tokens
}

func (v *views) stats(now time.Time) map[string]routing.Stats {
	v.mu.Lock()
	defer v.mu.Unlock()
	stats := make(map[string]routing.Stats, len(v.byNode))
	for node, i := range v.byNode {
		stats[node] = i.Stats(now)
	}
	return stats
}
