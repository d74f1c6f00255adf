package once_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/homes"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

// testPlatformOutage takes the platform away for longer than the epochs reach. Keys of every kind run on.
func testPlatformOutage(t *testing.T, f *fleet.Fleet) {
	is := is.New(t)
	f.Store.SetFaults(store.Faults{Down: true})
	defer f.Store.SetFaults(store.Faults{})
	time.Sleep(homes.DefaultTiming.Horizon + 2*time.Second)
	for i := range 10 {
		n := f.Nodes[i%len(f.Nodes)]
		for _, key := range []string{"", uuid.Must(uuid.NewV7()).String(), fmt.Sprintf("outage-%d", i)} {
			s := book(n, key, "a wash")
			is.Equal(s.Outcome, "ran")
			is.Equal(startCount(f, s.Key), 1)
		}
	}
}
