package reload_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/process/reload"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) contains(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.buffer.String(), text)
}

// Guards against SIGHUP ending the process, as it does by default, and with it every request in flight.
func TestHangupReloadsSettings(t *testing.T) {
	for name, test := range map[string]struct {
		file string
		want string
	}{
		"valid file":       {"../../../samples/node.ini", "settings_reloaded"},
		"file with faults": {"../../../cmd/comfreyhoist/testdata/node.ini", "settings_refused"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source, err := os.ReadFile(test.file)
			is.NoErr(err)
			path := filepath.Join(t.TempDir(), "node.ini")
			is.NoErr(os.WriteFile(path, source, 0o600))
			out := &lockedBuffer{}
			ctx, cancel := context.WithCancel(t.Context())
			var group conc.WaitGroup
			defer group.Wait()
			defer cancel()
			reload.New(reload.Config{
				Arguments: []string{"-config", path}, Log: events.NewLog(out, zerolog.InfoLevel, "node_1"),
			}).Run(ctx, &group)
			is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
			for deadline := time.Now().Add(5 * time.Second); !out.contains(test.want); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the log has no event " + test.want)
				}
			}
		})
	}
}
