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
		b := pause.Backoff{Initial: 100 * time.Millisecond, Max: 300 * time.Millisecond}
		waitTime := func() time.Duration {
			start := time.Now()
			is.True(b.Wait(t.Context()))
			return time.Since(start)
		}
		is.Equal(waitTime(), 100*time.Millisecond)
		is.Equal(waitTime(), 200*time.Millisecond)
		is.Equal(waitTime(), 300*time.Millisecond)
		is.Equal(waitTime(), 300*time.Millisecond)
		b.Reset()
		is.Equal(waitTime(), 100*time.Millisecond)
	})
}
