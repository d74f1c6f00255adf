package events_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
)

// Many refusals within a short time must not flood the log, and the suppressed lines must be counted.
func TestBurstLimiter(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := events.NewBurstLimiter(events.NewLog(&out, zerolog.InfoLevel, "node_1"), 100*time.Millisecond, 5)
	now := time.Now()
	for range 50 {
		l.Emit(now, events.RequestRefused, events.Fields{"request": "r"})
	}
	is.Equal(strings.Count(out.String(), "\n"), 5)
	l.Emit(now.Add(150*time.Millisecond), events.RequestRefused, nil)
	is.Equal(strings.Count(out.String(), "\n"), 6)
	is.True(strings.Contains(out.String(), `"left_out":45`))
}

func TestSetLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := events.NewLog(&out, zerolog.ErrorLevel, "node_1")
	log.Emit(events.NodeStarted, nil)
	is.Equal(out.Len(), 0)
	log.SetLevel(zerolog.InfoLevel)
	log.Emit(events.NodeStarted, nil)
	is.True(out.Len() > 0)
}
