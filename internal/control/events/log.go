package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Fields are the values of one event, by snake-case name.
type Fields map[string]any

// Log writes events as lines of JSON.
type Log struct {
	logger zerolog.Logger
	level  atomic.Int32
}

// NewLog returns a log that writes events of at least the level to w and marks them with the node's name.
func NewLog(w io.Writer, level zerolog.Level, node string) *Log {
	l := &Log{logger: zerolog.New(w).With().Timestamp().Str("node", node).Logger()}
	l.SetLevel(level)
	return l
}

// SetLevel makes the log write events of at least the level from now on.
func (l *Log) SetLevel(level zerolog.Level) {
	l.level.Store(int32(level))
}

// Emit writes one event.
func (l *Log) Emit(n Number, fields Fields) {
	entry := Catalogue[n]
	if entry.Level < zerolog.Level(l.level.Load()) {
		return
	}
	l.logger.WithLevel(entry.Level).Int("event", int(n)).Str("name", entry.Name).Fields(map[string]any(fields)).Msg(entry.Text)
}

// Limiter writes a bounded number of events of each number, for events that strangers or load can cause at any rate.
type Limiter struct {
	log   *Log
	every time.Duration
	burst float64

	mu   sync.Mutex
	last map[Number]*limited
}

// limited is what is left of one number's allowance.
type limited struct {
	at      time.Time
	tokens  float64
	leftOut int
}

// NewLimiter returns a limiter that writes one event of each number in the given time.
func NewLimiter(log *Log, every time.Duration) *Limiter {
	return NewBurstLimiter(log, every, 1)
}

// NewBurstLimiter returns a limiter that writes one event of each number in the given time, and so many at once after a
// time without any.
func NewBurstLimiter(log *Log, every time.Duration, burst int) *Limiter {
	return &Limiter{log: log, every: every, burst: float64(burst), last: map[Number]*limited{}}
}

// Emit writes the event, or leaves it out and counts it. The next one that is written carries the count.
func (l *Limiter) Emit(now time.Time, n Number, fields Fields) {
	leftOut, ok := l.take(now, n)
	if !ok {
		return
	}
	marked := Fields{"left_out": leftOut}
	for name, value := range fields {
		marked[name] = value
	}
	l.log.Emit(n, marked)
}

func (l *Limiter) take(now time.Time, n Number) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, seen := l.last[n]
	if !seen {
		s = &limited{at: now, tokens: l.burst}
		l.last[n] = s
	}
	s.tokens = min(s.tokens+float64(now.Sub(s.at))/float64(l.every), l.burst)
	s.at = now
	if s.tokens < 1 {
		s.leftOut++
		return 0, false
	}
	s.tokens--
	leftOut = s.leftOut
	s.leftOut = 0
	return leftOut, true
}
