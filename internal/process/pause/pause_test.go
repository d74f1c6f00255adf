package pause_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

func TestBackoffDoublesUntilASuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := pause.Backoff{First: 100 * time.Millisecond, Longest: 300 * time.Millisecond}
		took := func() time.Duration {
			start := time.Now()
			is.True(b.Wait(t.Context()))
			return time.Since(start)
		}
		is.Equal(took(), 100*time.Millisecond)
		is.Equal(took(), 200*time.Millisecond)
		is.Equal(took(), 300*time.Millisecond)
		is.Equal(took(), 300*time.Millisecond)
		b.Reset()
		is.Equal(took(), 100*time.Millisecond)
	})
}
