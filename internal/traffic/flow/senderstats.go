package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
)

// SenderStats holds the state that a Sender uses to choose instances and to allow retries.
type SenderStats struct {
	// Instances holds the statistics of the known instances by node.
	Instances map[string]routing.Stats `json:"instances"`
	// Budgets holds the tokens in the retry budget of each service.
	Budgets map[string]float64 `json:"budgets"`
	// Throttles holds the state of the entry throttles, ordered by service, rank and kind.
	Throttles []ThrottleStats `json:"throttles"`
}

// ThrottleStats holds the state of the throttle of one service, kind and rank.
type ThrottleStats struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Rank    int    `json:"rank"`

	throttle.Stats
}

// Stats returns the current state of the sender.
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
	for node, instance := range v.byNode {
		stats[node] = instance.Stats(now)
	}
	return stats
}
