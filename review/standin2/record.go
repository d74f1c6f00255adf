package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the time since the start.
type record struct {
	begun time.Time

	mu sync.Mutex
	w  io.Writer
}

func newRecord(w io.Writer) *record {
	return &record{begun: time.Now(), w: w}
}

// printf adds a line. Results are shown on standard output, too.
func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
	_, _ = io.WriteString(r.w, line) // the exit code holds the result, too
	if len(format) > 6 && format[:6] == "result" || len(format) > 6 && format[:6] == "couldn" {
		_, _ = io.WriteString(os.Stdout, line)
	}
}
