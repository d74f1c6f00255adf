// Package pause waits for a duration, until a time, or with exponential backoff after a failure. Every wait ends early
// when its context ends.
//
// # Usage
//
//	for pause.For(ctx, time.Second) {
//		poll()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for the duration. It reports whether the context was still active, and returns early when the context ends.
// It does not wait if the duration is zero or less.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until waits until the time. It reports whether the context was still active, and returns early when the context ends.
func Until(ctx context.Context, t time.Time) bool {
	return For(ctx, time.Until(t))
}

// Backoff is an exponential backoff after consecutive failures: Initial after the first one, and twice as long after
// each further one, up to Max. A Backoff is not safe for concurrent use.
type Backoff struct {
	Initial, Max time.Duration

	next time.Duration
}

// Wait waits after a failure. It reports whether the context was still active, and returns early when the context ends.
func (b *Backoff) Wait(ctx context.Context) bool {
	d := max(b.next, b.Initial)
	b.next = min(2*d, b.Max)
	return For(ctx, d)
}

// Reset makes the next wait begin with Initial again. It is called after a success.
func (b *Backoff) Reset() { b.next = 0 }
