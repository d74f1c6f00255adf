package routing

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

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
	Failures    int   `json:"failures"`
	EjectedLeft int64 `json:"ejected_left_ms"`
	// SheddingRank is the rank that the instance shed last, and ShedLeft for how long others of it are still kept away.
	SheddingRank int   `json:"shedding_rank"`
	ShedLeft     int64 `json:"shed_left_ms"`
}

// Stats returns what is known of the instance.
func (i *Instance) Stats(now time.Time) Stats {
	return Stats{
		InFlight:     i.onTheWay(admission.Ranks - 1),
		Latency:      i.latencies.last().Milliseconds(),
		ErrorRate:    i.errorRate(now),
		Limit:        i.load.Limit,
		Queued:       i.load.Queued,
		Failures:     i.failures,
		EjectedLeft:  max(0, i.ejectedUntil.Sub(now).Milliseconds()),
		SheddingRank: i.sheddingRank,
		ShedLeft:     max(0, i.shedUntil.Sub(now).Milliseconds()),
	}
}
