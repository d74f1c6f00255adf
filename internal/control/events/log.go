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

// Limiter writes each event at most once in a while, for events that strangers can cause at any rate.
type Limiter struct {
	log   *Log
	every time.Duration

	mu   sync.Mutex
	last map[Number]*limited
}

type limited struct {
	at      time.Time
	leftOut int
}

// NewLimiter returns a limiter that writes one event of each number in the given time.
func NewLimiter(log *Log, every time.Duration) *Limiter {
	return &Limiter{log: log, every: every, last: map[Number]*limited{}}
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
	before, seen := l.last[n]
	if seen && now.Sub(before.at) < l.every {
		before.leftOut++
		return 0, false
	}
	if seen {
		leftOut = before.leftOut
	}
	l.last[n] = &limited{at: now}
	return leftOut, true
}
