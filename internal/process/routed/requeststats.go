package routed

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// maxLatencyMicros is the highest latency that a histogram records, in microseconds. Higher latencies are recorded
	// as this value.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the number of significant decimal digits of a recorded latency.
	latencyDigits = 2
	// maxKinds limits the kinds that are counted separately. All others are counted together as otherKinds.
	maxKinds   = 256
	otherKinds = "others"
)

// KindStats holds the counts and latencies of the requests of one kind. Latencies are in microseconds.
type KindStats struct {
	// ByOutcome counts requests by outcome. If the reply has a reason, the key is the outcome, "_" and the reason.
	ByOutcome map[string]uint64 `json:"ended"`
	P50       int64             `json:"p50_micros"`
	P90       int64             `json:"p90_micros"`
	P99       int64             `json:"p99_micros"`
	Max       int64             `json:"max_micros"`
	Count     int64             `json:"count"`
}

// requestStats counts the requests of callers by kind.
type requestStats struct {
	mu     sync.Mutex
	byKind map[string]*kindCounters
}

// kindCounters counts the requests of one kind by outcome, and records their latencies in microseconds.
type kindCounters struct {
	byOutcome map[string]uint64
	latencies *hdrhistogram.Histogram
}

func newRequestStats() *requestStats {
	return &requestStats{byKind: map[string]*kindCounters{}}
}

// record counts one request and its latency.
func (s *requestStats) record(kind string, reply *call.Reply, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.countersFor(kind)
	k.byOutcome[outcomeLabel(reply)]++
	_ = k.latencies.RecordValue(min(latency.Microseconds(), maxLatencyMicros)) // values up to the maximum are always recorded
}

func outcomeLabel(reply *call.Reply) string {
	if reply.Reason == call.ReasonNone {
		return reply.Outcome.String()
	}
	return reply.Outcome.String() + "_" + string(reply.Reason)
}

func (s *requestStats) countersFor(name string) *kindCounters {
	if _, known := s.byKind[name]; !known && len(s.byKind) >= maxKinds {
		name = otherKinds
	}
	k, known := s.byKind[name]
	if !known {
		k = &kindCounters{byOutcome: map[string]uint64{}, latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
		s.byKind[name] = k
	}
	return k
}

// snapshot returns the statistics of each kind.
func (s *requestStats) snapshot() map[string]KindStats {
	const median, high, highest = 50, 90, 99 // percentiles
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := make(map[string]KindStats, len(s.byKind))
	for name, k := range s.byKind {
		byOutcome := make(map[string]uint64, len(k.byOutcome))
		for outcome, count := range k.byOutcome {
			byOutcome[outcome] = count
		}
		stats[name] = KindStats{
			ByOutcome: byOutcome,
			P50:       k.latencies.ValueAtQuantile(median),
			P90:       k.latencies.ValueAtQuantile(high),
			P99:       k.latencies.ValueAtQuantile(highest),
			Max:       k.latencies.Max(),
			Count:     k.latencies.TotalCount(),
		}
	}
	return stats
}
