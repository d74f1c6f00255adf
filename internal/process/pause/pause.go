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
