package events

import (
	"io"

	"github.com/rs/zerolog"
)

// Fields are the values of one event, by snake-case name.
type Fields map[string]any

// Log writes events as lines of JSON.
type Log struct {
	logger zerolog.Logger
}

// NewLog returns a log that writes events of at least the level to w and marks them with the node's name.
func NewLog(w io.Writer, level zerolog.Level, node string) *Log {
	return &Log{logger: zerolog.New(w).Level(level).With().Timestamp().Str("node", node).Logger()}
}

// Emit writes one event.
func (l *Log) Emit(n Number, fields Fields) {
	entry := Catalogue[n]
	l.logger.WithLevel(entry.Level).Int("event", int(n)).Str("name", entry.Name).Fields(map[string]any(fields)).Msg(entry.Text)
}
