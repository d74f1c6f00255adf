package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Fields are the fields of one event, by name in snake case.
type Fields map[string]any

// Log writes events as lines of JSON.
type Log struct {
	logger zerolog.Logger
	level  atomic.Int32
}

// NewLog returns a log that writes events of the given level or above to w, with the name of the node as a field.
func NewLog(w io.Writer, level zerolog.Level, node string) *Log {
	l := &Log{logger: zerolog.New(w).With().Timestamp().Str("node", node).Logger()}
	l.SetLevel(level)
	return l
}

// SetLevel sets the lowest level of the events that are written.
func (l *Log) SetLevel(level zerolog.Level) {
	l.level.Store(int32(level))
}

// Emit writes the event if its level is enabled.
func (l *Log) Emit(n Number, fields Fields) {
	entry := Catalogue[n]
	if entry.Level < zerolog.Level(l.level.Load()) {
		return
	}
	l.logger.WithLevel(entry.Level).Int("event", int(n)).Str("name", entry.Name).Fields(map[string]any(fields)).Msg(entry.Text)
}

// Limiter limits the rate of the events of each number. It is for events that untrusted clients or load can cause at
// any rate.
type Limiter struct {
	log      *Log
	interval time.Duration
	burst    float64

	mu         sync.Mutex
	allowances map[Number]*allowance
}

// allowance is the token bucket of one event number.
type allowance struct {
	refilledAt time.Time
	tokens     float64
	suppressed int
}

// NewLimiter returns a limiter that writes at most one event of each number per interval.
func NewLimiter(log *Log, interval time.Duration) *Limiter {
	return NewBurstLimiter(log, interval, 1)
}

// NewBurstLimiter returns a limiter that writes one event of each number per interval on average, and up to burst
// events in quick succession.
func NewBurstLimiter(log *Log, interval time.Duration, burst int) *Limiter {
	return &Limiter{log: log, interval: interval, burst: float64(burst), allowances: map[Number]*allowance{}}
}

// Emit writes the event, or suppresses and counts it if its number has reached the limit. The next event of that number
// that is written has the count in its field left_out.
func (l *Limiter) Emit(now time.Time, n Number, fields Fields) {
	suppressed, ok := l.allow(now, n)
	if !ok {
		return
	}
	withCount := Fields{"left_out": suppressed}
	for name, value := range fields {
		withCount[name] = value
	}
	l.log.Emit(n, withCount)
}

func (l *Limiter) allow(now time.Time, n Number) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, seen := l.allowances[n]
	if !seen {
		a = &allowance{refilledAt: now, tokens: l.burst}
		l.allowances[n] = a
	}
	a.tokens = min(a.tokens+float64(now.Sub(a.refilledAt))/float64(l.interval), l.burst)
	a.refilledAt = now
	if a.tokens < 1 {
		a.suppressed++
		return 0, false
	}
	a.tokens--
	suppressed = a.suppressed
	a.suppressed = 0
	return suppressed, true
}
