package routing

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// Reason is the reason why an instance gets no requests, or none of some ranks.
type Reason string

const (
	ConsecutiveFailures Reason = "failures_in_a_row"
	ShedReply           Reason = "shed_reply"
)

// Reasons maps each reason to its description.
var Reasons = map[Reason]string{
	ConsecutiveFailures: "Ejected: the instance failed so often in a row; the evidence names the last failure.",
	ShedReply:           "The instance turned away a request of this rank; others of it and of less urgent ones are kept away for a moment.",
}

// Ejection describes the last ejection of an instance. The zero value means that it was never ejected.
type Ejection struct {
	Reason Reason `json:"reason"`
	// Failures is the number of consecutive failures, and LastFailure the reason of the last one as callers see it.
	Failures    int       `json:"failures"`
	LastFailure string    `json:"last_failure"`
	At          time.Time `json:"at"`
}

// ShedEvidence describes the last request that an instance shed. The zero value means that it shed none.
type ShedEvidence struct {
	Reason Reason `json:"reason"`
	// InstanceReason is the reason that the instance gave.
	InstanceReason string    `json:"told"`
	At             time.Time `json:"at"`
}

// Stats is the state of one instance, for the state dump. Durations are in milliseconds.
type Stats struct {
	InFlight int `json:"in_flight"`
	// Latency is the peak-weighted average of the rank that was answered most recently; 0 if there is none.
	Latency   int64   `json:"latency_ms"`
	ErrorRate float64 `json:"error_rate"`
	// Limit and Queued are the values that the instance reported last.
	Limit  int `json:"limit"`
	Queued int `json:"queued"`
	// Failures is the number of consecutive failures, and EjectionRemaining the time until the ejection ends.
	Failures          int      `json:"failures"`
	EjectionRemaining int64    `json:"ejected_left_ms"`
	Ejection          Ejection `json:"ejection"`
	// SheddingRank is the rank that the instance shed last, and ShedRemaining the time for which this and less urgent
	// ranks still avoid the instance.
	SheddingRank  int          `json:"shedding_rank"`
	ShedRemaining int64        `json:"shed_left_ms"`
	LastShed      ShedEvidence `json:"last_shed"`
}

// Stats returns the state of the instance.
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
