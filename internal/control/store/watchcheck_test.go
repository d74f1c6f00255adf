package store_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

const checkInterval = time.Second

// checkedFollower is a follower that checks its watches, and the counts of what it reported.
type checkedFollower struct {
	follower *store.Follower
	observedValue

	stale, silent, lost atomic.Int64
}

// runChecked runs the test with a follower that has listed the value "1" of a key.
func runChecked(t *testing.T, test func(is *is.I, s *kv.Store, f *checkedFollower)) {
	synctest.Test(t, func(t *testing.T) {
		s, f := kv.New(), &checkedFollower{}
		s.ForcePut("op/config", []byte("1"))
		observe := func(_ context.Context, snapshot store.Snapshot) {
			for _, item := range snapshot.Items {
				f.set(item)
			}
		}
		f.follower = store.NewFollower(store.FollowerConfig{
			Store: s.ForNode("node_1"), Prefix: "op/", WatchTimeout: 30 * time.Second,
			CheckInterval: func() time.Duration { return checkInterval },
			OnList:        observe,
			OnStale:       func(ctx context.Context, snapshot store.Snapshot) { f.stale.Add(1); observe(ctx, snapshot) },
			OnChange: func(_ context.Context, c store.Changes) {
				for _, e := range c.Events {
					f.set(e.Item)
				}
			},
			OnSilent:    func() { f.silent.Add(1) },
			OnLost:      func(error) { f.lost.Add(1) },
			OnRecovered: func() {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		group.Go(func() { f.follower.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		is := is.New(t)
		is.Equal(f.get(), "1")
		test(is, s, f)
	})
}

// Guards against a check beside a watch that breaks off watches that work, because its lists are older than what the watch
// has returned.
func TestOlderListDoesNotBreakOffAWatch(t *testing.T) {
	runChecked(t, func(is *is.I, s *kv.Store, f *checkedFollower) {
		s.SetFaults(kv.Faults{StaleLists: true})
		s.ForcePut("op/config", []byte("2"))
		time.Sleep(10 * time.Second)
		is.Equal(f.get(), "2")
		is.Equal(f.silent.Load(), int64(0))
		is.Equal(s.Calls()-s.StaleLists(), 3) // the first list, the watch that returned the change, and the one that waits
	})
}

// Guards against a node that believes itself in touch with the store while only an old watch is left open.
func TestStoreThatRefusesChecksIsUnreachable(t *testing.T) {
	runChecked(t, func(is *is.I, s *kv.Store, f *checkedFollower) {
		refused := map[string]bool{"node_1": true}
		s.SetFaults(kv.Faults{RefuseNodes: refused, SilentWatches: refused})
		time.Sleep(3 * checkInterval)
		is.Equal(f.lost.Load(), int64(1))
		s.ForcePut("op/config", []byte("2"))
		s.SetFaults(kv.Faults{})
		time.Sleep(time.Second)
		is.Equal(f.get(), "2")
	})
}

// Guards against one lost response to a check that makes every node list anew.
func TestOneFailedCheckKeepsTheWatch(t *testing.T) {
	runChecked(t, func(is *is.I, s *kv.Store, f *checkedFollower) {
		s.SetFaults(kv.Faults{RefuseNodes: map[string]bool{"node_1": true}})
		time.Sleep(checkInterval)
		s.SetFaults(kv.Faults{})
		time.Sleep(5 * checkInterval)
		is.Equal(f.lost.Load(), int64(0))
		is.Equal(s.Calls()-s.StaleLists(), 2) // the first list, and the watch that waits
	})
}

// Guards against a follower that goes on waiting although a change is known from elsewhere.
func TestSuspectedWatchIsBrokenOff(t *testing.T) {
	runChecked(t, func(is *is.I, s *kv.Store, f *checkedFollower) {
		s.SetFaults(kv.Faults{SilentWatches: map[string]bool{"node_1": true}, StaleLists: true})
		s.ForcePut("op/config", []byte("2"))
		f.follower.Suspect()
		time.Sleep(10 * time.Millisecond)
		is.Equal(f.get(), "2")
		is.Equal(f.silent.Load(), int64(1))
	})
}

// Guards against a follower that calls the store without pause while it answers only calls whose result may be old.
func TestStoreThatRefusesListsIsCalledWithBackoff(t *testing.T) {
	const outage = 20 * time.Second
	// maxCalls is two calls for each of the longest delays between attempts, and some for the first, shorter ones.
	const maxCalls = 2*int(outage/(800*time.Millisecond)) + 20
	runChecked(t, func(is *is.I, s *kv.Store, f *checkedFollower) {
		before := s.Calls()
		s.SetFaults(kv.Faults{RefuseLatest: true})
		s.Compact() // it breaks off the watch that waits
		time.Sleep(outage)
		is.True(s.Calls()-before <= maxCalls)
		is.Equal(f.lost.Load(), int64(1))
	})
}
