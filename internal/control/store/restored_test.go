package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

// Guards against changes that a follower misses for good, or for half a minute, because the store was restored from a copy
// and has given out again the revision from which the follower goes on.
func TestFollowerCatchesUpWithARestoredStore(t *testing.T) {
	for name, restore := range map[string]func(s *kv.Store, before kv.Copy){
		"between two watches, other keys since": func(s *kv.Store, before kv.Copy) {
			s.ForcePut("op/config", []byte("3")) // the follower pauses after this change
			time.Sleep(10 * time.Millisecond)
			s.Restore(before)
			s.ForcePut("op/config", []byte("3"))
			s.ForcePut("op/config", []byte("4"))
			s.Skip(10)
		},
		"while a watch waits that is not told": func(s *kv.Store, before kv.Copy) {
			time.Sleep(5 * time.Second)
			s.Restore(before)
			s.ForcePut("op/config", []byte("4"))
			s.Skip(10)
		},
		"twice": func(s *kv.Store, before kv.Copy) {
			s.Restore(before)
			s.ForcePut("op/config", []byte("3"))
			time.Sleep(2 * time.Second)
			s.Restore(before)
			s.ForcePut("op/config", []byte("4"))
			s.Skip(10)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, observed := kv.New(), &observedValue{}
				s.ForcePut("op/config", []byte("1"))
				before := s.Copy()
				ctx, cancel := context.WithCancel(t.Context())
				var group conc.WaitGroup
				defer group.Wait()
				defer cancel()
				client := s.ForNode("node_1")
				followPausing(ctx, &group, client, observed, time.Second)
				group.Go(func() { makeCalls(ctx, client) })
				time.Sleep(time.Second)
				s.ForcePut("op/config", []byte("2"))
				time.Sleep(1500 * time.Millisecond)
				is.Equal(observed.get(), "2")
				restore(s, before)
				time.Sleep(2 * time.Second)
				is.Equal(observed.get(), "4")
			})
		})
	}
}

// callInterval is how often the node of the test makes another call, as it does to renew its lease.
const callInterval = 1300 * time.Millisecond

// makeCalls reads a key at each callInterval until the context ends.
func makeCalls(ctx context.Context, s store.Store) {
	for ctx.Err() == nil {
		_, _ = s.Get(ctx, "op/config")
		select {
		case <-ctx.Done():
		case <-time.After(callInterval):
		}
	}
}
