package once_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/keyowners"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

// testPlatformOutage makes the platform unavailable for longer than the horizon of the epochs. Requests with keys of every kind must
// still run, so nodes must extend the epochs without the platform.
func testPlatformOutage(t *testing.T, f *fleet.Fleet) {
	is := is.New(t)
	f.Store.SetFaults(store.Faults{Down: true})
	defer f.Store.SetFaults(store.Faults{})
	time.Sleep(keyowners.DefaultTiming.Horizon + 2*time.Second)
	for i := range 10 {
		n := f.Nodes[i%len(f.Nodes)]
		for _, key := range []string{"", uuid.Must(uuid.NewV7()).String(), fmt.Sprintf("outage-%d", i)} {
			s := book(n, key, "a wash")
			is.Equal(s.Outcome, "ran")
			is.Equal(startCount(f, s.Key), 1)
		}
	}
}
