package node

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

// The key table and the epochs of key owners cover the same window.
func TestKeyTableAndEpochsShareTheWindow(t *testing.T) {
	is := is.New(t)
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	s := settings.Register(flags)
	is.NoErr(s.Parse(flags, []string{"-keys.window", "5m", "-keys.max_keys", "2000", "-keys.max_bytes", "3000000"}))
	want := outcome.TableConfig{Window: 5 * time.Minute, MaxAhead: maxKeyTimeAhead, MaxKeys: 2000, MaxBytes: 3_000_000}
	is.Equal(keyTableConfig(s), want)
	is.Equal(ownerTiming(s).Window, want.Window)
}
