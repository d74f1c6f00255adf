package routed

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// highestLatency bounds what a histogram tells apart, in microseconds.
	highestLatency = 60_000_000
	// latencyDigits is how many decimal digits of a latency are kept.
	latencyDigits = 2
	// maxMeters bounds the kinds that are told apart; all others count as otherKinds.
	maxMeters  = 256
	otherKinds = "others"
)

// Meter is what became of the requests of one kind. Latencies are in microseconds.
type Meter struct {
	// Ended counts requests by outcome, and where no backend server answered by reason.
	Ended map[string]uint64 `json:"ended"`
	P50   int64             `json:"p50_micros"`
	P90   int64             `json:"p90_micros"`
	P99   int64             `json:"p99_micros"`
	Max   int64             `json:"max_micros"`
	Count int64             `json:"count"`
}

// meters count the requests of callers by kind.
type meters struct {
	mu     sync.Mutex
	byKind map[string]*kindMeter
}

type kindMeter struct {
	ended     map[string]uint64
	latencies *hdrhistogram.Histogram
}

func newMeters() *meters {
	return &meters{byKind: map[string]*kindMeter{}}
}

// note counts one request.
func (m *meters) note(kind string, reply *call.Reply, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	k.ended[endName(reply)]++
	_ = k.latencies.RecordValue(min(took.Microseconds(), highestLatency)) // a value within the bound is always recorded
}

func endName(reply *call.Reply) string {
	if reply.Reason == call.ReasonNone {
		return reply.Outcome.String()
	}
	return reply.Outcome.String() + "_" + string(reply.Reason)
}

func (m *meters) kind(name string) *kindMeter {
	if _, known := m.byKind[name]; !known && len(m.byKind) >= maxMeters {
		name = otherKinds
	}
	k, known := m.byKind[name]
	if !known {
		k = &kindMeter{ended: map[string]uint64{}, latencies: hdrhistogram.New(1, highestLatency, latencyDigits)}
		m.byKind[name] = k
	}
	return k
}

// read returns all meters.
func (m *meters) read() map[string]Meter {
	const median, high, highest = 50, 90, 99 // percentiles
	m.mu.Lock()
	defer m.mu.Unlock()
	read := make(map[string]Meter, len(m.byKind))
	for name, k := range m.byKind {
		ended := make(map[string]uint64, len(k.ended))
		for end, count := range k.ended {
			ended[end] = count
		}
		read[name] = Meter{
			Ended: ended,
			P50:   k.latencies.ValueAtQuantile(median),
			P90:   k.latencies.ValueAtQuantile(high),
			P99:   k.latencies.ValueAtQuantile(highest),
			Max:   k.latencies.Max(),
			Count: k.latencies.TotalCount(),
		}
	}
	return read
}
