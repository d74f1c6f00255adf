package admission

import (
	"maps"
	"time"
)

// LimitReason is the reason for the last change of a limit.
type LimitReason string

// Possible values of LimitReason.
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

// LimitReasons describes the reasons for changes of a limit.
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
	// At is zero while the limit has its initial value.
	At time.Time `json:"at"`
}

// recordChange updates the last change if the limit differs from the last recorded one. The recorded reason is that of
// the last adjustment.
func (l *Limit) recordChange(now time.Time) {
	value := l.Value()
	if value == l.change.To {
		return
	}
	l.change = LimitChange{From: l.change.To, To: value, Reason: l.reason, At: now}
}

// growthReason returns the reason for growth, which differs between a limit without any trouble so far and others.
func (l *Limit) growthReason() LimitReason {
	if l.cold {
		return LimitColdRamp
	}
	return LimitGrew
}

// ShedReason is the reason why a ticket was refused. Reasons that are also sent to callers have the same names there.
type ShedReason string

// Possible values of ShedReason.
const (
	ShedOverload     ShedReason = "overload"
	ShedDisplaced    ShedReason = "displaced"
	ShedQueueTimeout ShedReason = "queue_timeout"
	ShedDeadline     ShedReason = "deadline"
)

// ShedReasons describes the reasons for refusals.
var ShedReasons = map[ShedReason]string{
	ShedOverload:     "The request would have waited longer than its rank may, or found the queue full.",
	ShedDisplaced:    "The request waited, and more urgent work or work of a kind or caller with less took its place.",
	ShedQueueTimeout: "The request's time in the queue was over.",
	ShedDeadline:     "The request could not end before its deadline.",
}

// overloadReason distinguishes the offered ticket from a queued ticket that the offered one displaced.
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

// RankSheds counts the refusals of one rank since the gate was created.
type RankSheds struct {
	ByReason map[ShedReason]uint64 `json:"by_reason,omitempty"`
	// Last is the most recent refusal; its time is zero if there was none.
	Last LastShed `json:"last"`
}

// LastShed is the most recent refusal of a rank.
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

// clone returns a copy that shares no data with s.
func (s *RankSheds) clone() RankSheds {
	return RankSheds{ByReason: maps.Clone(s.ByReason), Last: s.Last}
}

// Stats holds the state of a Gate and the reasons for it, for the state dump.
type Stats struct {
	Limit int `json:"limit"`
	// Ceiling is the highest limit that can be reached without a trial.
	Ceiling int `json:"ceiling"`
	// Proven is the number of requests in flight that the backend server has handled at low latency.
	Proven int         `json:"proven"`
	Change LimitChange `json:"last_change"`
	// Sheds holds the refusals of each rank.
	Sheds [Ranks]RankSheds `json:"sheds_by_rank"`
}

// Stats returns the state of the gate.
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
