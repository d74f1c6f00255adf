package admission

import (
	"maps"
	"time"
)

// LimitReason says why a limit last changed.
type LimitReason string

// The reasons of a limit.
const (
	LimitInitial       LimitReason = "initial"
	LimitAnnounced     LimitReason = "announced"
	LimitColdRamp      LimitReason = "cold_ramp"
	LimitGrew          LimitReason = "grew"
	LimitOverloaded    LimitReason = "overload_answers"
	LimitHighLatency   LimitReason = "late_answers"
	LimitLowerTrial    LimitReason = "lower_on_trial"
	LimitLowerReverted LimitReason = "lower_taken_back"
	LimitRaiseTrial    LimitReason = "higher_on_trial"
	LimitRaiseReverted LimitReason = "higher_taken_back"
)

// LimitReasons is the catalogue of the reasons of a limit.
var LimitReasons = map[LimitReason]string{
	LimitInitial:       "The limit is where it starts; nothing has moved it yet.",
	LimitAnnounced:     "The backend server announced fewer slots or connections than the limit.",
	LimitColdRamp:      "The limit was used and latency was low; it grows fast, since nothing has gone wrong since the start.",
	LimitGrew:          "The limit was used and latency was low.",
	LimitOverloaded:    "The backend server itself shed a request with so many in flight.",
	LimitHighLatency:   "Answers came late with more in flight than the backend server was seen to run well.",
	LimitLowerTrial:    "Latency stayed high; a lower limit is tried, and kept where throughput does not fall.",
	LimitLowerReverted: "The lower limit on trial cost throughput or did not help latency.",
	LimitRaiseTrial:    "Requests had to wait; a higher limit is tried, and kept where throughput rises.",
	LimitRaiseReverted: "The higher limit on trial brought no throughput or more latency.",
}

// LimitChange is the last change of a limit.
type LimitChange struct {
	From   int         `json:"from"`
	To     int         `json:"to"`
	Reason LimitReason `json:"reason"`
	// At is zero while the limit is where it started.
	At time.Time `json:"at"`
}

// recordChange keeps what the limit has become since the last look, with the reason for which it moved last.
func (l *Limit) recordChange(now time.Time) {
	value := l.Value()
	if value == l.change.To {
		return
	}
	l.change = LimitChange{From: l.change.To, To: value, Reason: l.reason, At: now}
}

// growthReason tells the growth of a limit that nothing has gone wrong with from that of others.
func (l *Limit) growthReason() LimitReason {
	if l.cold {
		return LimitColdRamp
	}
	return LimitGrew
}

// ShedReason says why a ticket was refused. Reasons that callers are told too have the same names there.
type ShedReason string

// The reasons of refusals.
const (
	ShedOverload     ShedReason = "overload"
	ShedDisplaced    ShedReason = "displaced"
	ShedQueueTimeout ShedReason = "queue_timeout"
	ShedDeadline     ShedReason = "deadline"
)

// ShedReasons is the catalogue of the reasons of refusals.
var ShedReasons = map[ShedReason]string{
	ShedOverload:     "The request would have waited longer than its rank may, or found the queue full.",
	ShedDisplaced:    "The request waited, and more urgent work or work of a kind or caller with less took its place.",
	ShedQueueTimeout: "The request's time in the queue was over.",
	ShedDeadline:     "The request could not end before its deadline.",
}

// overloadReason tells a ticket that lost its place in the queue to the offered one from the offered one itself.
func overloadReason(victim, offered *Ticket) ShedReason {
	if victim == offered {
		return ShedOverload
	}
	return ShedDisplaced
}

func expiryReason(t *Ticket) ShedReason {
	if t.deadlineFirst {
		return ShedDeadline
	}
	return ShedQueueTimeout
}

// RankSheds are the refusals of one rank since the start.
type RankSheds struct {
	ByReason map[ShedReason]uint64 `json:"by_reason,omitempty"`
	// Last is the newest refusal; its time is zero where there was none.
	Last LastShed `json:"last"`
}

// LastShed is the newest refusal of a rank.
type LastShed struct {
	Reason ShedReason `json:"reason"`
	Kind   string     `json:"kind"`
	At     time.Time  `json:"at"`
}

// record counts one refusal.
func (s *RankSheds) record(now time.Time, t *Ticket, reason ShedReason) {
	if s.ByReason == nil {
		s.ByReason = map[ShedReason]uint64{}
	}
	s.ByReason[reason]++
	s.Last = LastShed{Reason: reason, Kind: t.Kind, At: now}
}

// clone returns the refusals apart from those that are still counted.
func (s *RankSheds) clone() RankSheds {
	return RankSheds{ByReason: maps.Clone(s.ByReason), Last: s.Last}
}

// Stats are what a Gate decides by, and why, for the dump.
type Stats struct {
	Limit int `json:"limit"`
	// Ceiling is the highest value that the limit may grow to without a trial.
	Ceiling int `json:"ceiling"`
	// Proven is how many requests in flight the backend server was seen to run well.
	Proven int         `json:"proven"`
	Change LimitChange `json:"last_change"`
	// Sheds are the refusals of each rank.
	Sheds [Ranks]RankSheds `json:"sheds_by_rank"`
}

// Stats returns what the gate decides by.
func (g *Gate) Stats(now time.Time) Stats {
	g.limit.recordChange(now)
	s := Stats{
		Limit:   g.limit.Value(),
		Ceiling: int(g.limit.ceiling),
		Proven:  int(g.limit.provenInFlight),
		Change:  g.limit.change,
	}
	for r := range g.sheds {
		s.Sheds[r] = g.sheds[r].clone()
	}
	return s
}
