package store_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

// observedValue records the latest value of one key that a follower reported.
type observedValue struct {
	mu    sync.Mutex
	value string
	lost  int
}

func (v *observedValue) set(item store.Item) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.value = string(item.Value)
}

func (v *observedValue) get() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.value
}

func follow(ctx context.Context, group *conc.WaitGroup, s store.Store, observed *observedValue) {
	followPausing(ctx, group, s, observed, 0)
}

// followPausing is like follow, but the follower pauses after each change.
func followPausing(ctx context.Context, group *conc.WaitGroup, s store.Store, observed *observedValue, delay time.Duration) {
	f := store.NewFollower(store.FollowerConfig{
		Store:        s,
		Prefix:       "op/",
		WatchTimeout: 30 * time.Second,
		OnList: func(_ context.Context, snapshot store.Snapshot) {
			for _, item := range snapshot.Items {
				observed.set(item)
			}
		},
		OnChange: func(_ context.Context, c store.Changes) {
			for _, e := range c.Events {
				observed.set(e.Item)
			}
		},
		OnLost:      func(error) { observed.lost++ },
		OnRecovered: func() {},

		CoalesceDelay: func() time.Duration { return delay },
	})
	group.Go(func() { f.Run(ctx) })
}

// Guards against a follower that misses a change because its calls fail or its watches return no events. It must report
// the change within one second of the end of the fault, without any further change in the store.
func TestFollowerCatchesUp(t *testing.T) {
	for name, disrupt := range map[string]func(s *kv.Store){
		"nothing": func(s *kv.Store) { s.ForcePut("op/config", []byte("2")) },
		"watches return no events, then the history is compacted and the watches are cut": func(s *kv.Store) {
			s.SetFaults(kv.Faults{StallWatches: true})
			s.ForcePut("op/config", []byte("2"))
			time.Sleep(time.Second)
			s.SetFaults(kv.Faults{})
			s.Compact()
		},
		"outage": func(s *kv.Store) {
			s.SetFaults(kv.Faults{Down: true})
			s.Compact()
			s.ForcePut("op/config", []byte("2"))
			time.Sleep(5 * time.Second)
			s.SetFaults(kv.Faults{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, observed := kv.New(), &observedValue{}
				s.ForcePut("op/config", []byte("1"))
				ctx, cancel := context.WithCancel(t.Context())
				var group conc.WaitGroup
				defer group.Wait()
				defer cancel()
				follow(ctx, &group, s.ForNode("node_1"), observed)
				time.Sleep(time.Second)
				is.Equal(observed.get(), "1")
				disrupt(s)
				time.Sleep(time.Second)
				is.Equal(observed.get(), "2")
			})
		})
	}
}
