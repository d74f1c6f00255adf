package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
)

// SenderStats are what a Sender goes by when it chooses instances and allows further attempts.
type SenderStats struct {
	// Instances are the views of the instances that were called or may be, by node.
	Instances map[string]routing.Stats `json:"instances"`
	// Budgets are the further attempts that each service's successes have earned.
	Budgets map[string]float64 `json:"budgets"`
	// Throttles are what this entry goes by when it refuses root requests, by service, kind and rank.
	Throttles []ThrottleStats `json:"throttles"`
}

// ThrottleStats are what the throttle of one kind and rank goes by.
type ThrottleStats struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Rank    int    `json:"rank"`

	throttle.Stats
}

// Stats returns what the sender goes by.
func (s *Sender) Stats(now time.Time) SenderStats {
	return SenderStats{Instances: s.views.stats(now), Budgets: s.config.Budgets.tokens(), Throttles: s.entryThrottles.stats(now)}
}

func (e *entryThrottles) stats(now time.Time) []ThrottleStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := make([]ThrottleStats, 0, len(e.byKey))
	for key, t := range e.byKey {
		stats = append(stats, ThrottleStats{Service: key.service, Kind: key.kind, Rank: key.rank, Stats: t.Stats(now)})
	}
	slices.SortFunc(stats, func(a, b ThrottleStats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Kind, b.Kind))
	})
	return stats
}

func (v *instanceViews) stats(now time.Time) map[string]routing.Stats {
	v.mu.Lock()
	defer v.mu.Unlock()
	stats := make(map[string]routing.Stats, len(v.byNode))
	for node, i := range v.byNode {
		stats[node] = i.Stats(now)
	}
	return stats
}
