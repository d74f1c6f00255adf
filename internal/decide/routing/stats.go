package routing

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// Reason says why an instance gets no requests, or none of some ranks.
type Reason string

// The reasons.
const (
	FailuresInARow Reason = "failures_in_a_row"
	ShedReply      Reason = "shed_reply"
)

// Reasons is the catalogue of the reasons.
var Reasons = map[Reason]string{
	FailuresInARow: "Ejected: the instance failed so often in a row; the evidence names the last failure.",
	ShedReply:      "The instance turned away a request of this rank; others of it and of less urgent ones are kept away for a moment.",
}

// Ejection is the evidence for which an instance was last ejected. The zero Ejection is none.
type Ejection struct {
	Reason Reason `json:"reason"`
	// Failures in a row, and what the last of them was, as callers are told it.
	Failures    int       `json:"failures"`
	LastFailure string    `json:"last_failure"`
	At          time.Time `json:"at"`
}

// ShedEvidence is what an instance last turned away. The zero ShedEvidence is nothing.
type ShedEvidence struct {
	Reason Reason `json:"reason"`
	// InstanceReason is the reason that the instance gave.
	InstanceReason string    `json:"told"`
	At             time.Time `json:"at"`
}

// Stats are what is known of one instance, for the dump. Times are in milliseconds.
type Stats struct {
	InFlight int `json:"in_flight"`
	// Latency is the peak-weighted mean of the rank that was answered last, 0 where none is known.
	Latency   int64   `json:"latency_ms"`
	ErrorRate float64 `json:"error_rate"`
	// Limit and Queued are what the instance said last.
	Limit  int `json:"limit"`
	Queued int `json:"queued"`
	// Failures in a row, and for how long the instance is still passed over for them.
	Failures          int      `json:"failures"`
	EjectionRemaining int64    `json:"ejected_left_ms"`
	Ejection          Ejection `json:"ejection"`
	// SheddingRank is the rank that the instance shed last, and ShedLeft for how long others of it are still kept away.
	SheddingRank  int          `json:"shedding_rank"`
	ShedRemaining int64        `json:"shed_left_ms"`
	LastShed      ShedEvidence `json:"last_shed"`
}

// Stats returns what is known of the instance.
func (i *Instance) Stats(now time.Time) Stats {
	return Stats{
		InFlight:          i.inFlightUpTo(admission.Ranks - 1),
		Latency:           i.latencies.latest().Milliseconds(),
		ErrorRate:         i.errorRate(now),
		Limit:             i.load.Limit,
		Queued:            i.load.Queued,
		Failures:          i.failures,
		EjectionRemaining: max(0, i.ejectedUntil.Sub(now).Milliseconds()),
		Ejection:          i.ejection,
		SheddingRank:      i.sheddingRank,
		ShedRemaining:     max(0, i.shedUntil.Sub(now).Milliseconds()),
		LastShed:          i.lastShed,
	}
}
