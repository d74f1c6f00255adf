// Package pause waits for a time, or until a context ends.
//
// # Usage
//
//	for pause.For(ctx, time.Second) {
//		look()
//	}
package pause

import (
	"context"
	"time"
)

// For waits for the duration and reports false where the context ends before. It does not wait for a duration of
// zero or less.
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

// Until waits until the time and reports false where the context ends before.
func Until(ctx context.Context, t time.Time) bool {
	return For(ctx, time.Until(t))
}

// Backoff is the wait after failures in a row: First after the first one, and twice as long after each further one, up to
// Longest. A Backoff is not safe for concurrent use.
type Backoff struct {
	Initial, Max time.Duration

	next time.Duration
}

// Wait waits after a failure and reports false where the context ends before.
func (b *Backoff) Wait(ctx context.Context) bool {
	d := max(b.next, b.Initial)
	b.next = min(2*d, b.Max)
	return For(ctx, d)
}

// Reset forgets the failures, after a success.
func (b *Backoff) Reset() { b.next = 0 }
