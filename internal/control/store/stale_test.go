package store_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/roster"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

// planConfig allows stale lists of the few keys of these tests.
var planConfig = roster.ReadPlanConfig{MaxEntries: 10, QuietReads: roster.DefaultReadPlan.QuietReads}

// coalesceDelay is the delay between two reads of the followers in these tests.
const coalesceDelay = 500 * time.Millisecond

// observedKeys holds the values of all keys that a follower reported.
type observedKeys struct {
	mu     sync.Mutex
	values map[string]string
}

func (k *observedKeys) get(key string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.values[key]
}

func (k *observedKeys) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.values)
}

func (k *observedKeys) replace(items []store.Item) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.values = map[string]string{}
	for _, item := range items {
		k.values[item.Key] = string(item.Value)
	}
}

func (k *observedKeys) apply(changed []store.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range changed {
		k.values[e.Key] = string(e.Value)
		if e.Deleted {
			delete(k.values, e.Key)
		}
	}
}

// followWithPlan starts a follower that uses stale lists.
func followWithPlan(ctx context.Context, group *conc.WaitGroup, s store.Store) *observedKeys {
	observed := &observedKeys{values: map[string]string{}}
	f := store.NewFollower(store.FollowerConfig{
		Store: s, Prefix: "members/", WatchTimeout: 30 * time.Second,
		CoalesceDelay: func() time.Duration { return coalesceDelay },
		Plan:          roster.NewReadPlan(planConfig),
		Known:         observed.count,
		OnList:        func(_ context.Context, s store.Snapshot) { observed.replace(s.Items) },
		OnChange:      func(_ context.Context, c store.Changes) { observed.apply(c.Events) },
		OnLost:        func(error) {},
		OnRecovered:   func() {},
	})
	group.Go(func() { f.Run(ctx) })
	return observed
}

// Guards against changes that a follower misses because it reads lists that are some seconds old, or that stay old for
// good, and against changes that it takes back.
func TestFollowerReadsStaleLists(t *testing.T) {
	for name, test := range map[string]struct {
		disrupt func(s *kv.Store)
		// within is how long after the disruption the last change is read.
		within time.Duration
	}{
		"lists are up to date": {func(s *kv.Store) { s.ForcePut("members/a", []byte("3")) }, coalesceDelay},
		"lists are old for two seconds": {func(s *kv.Store) {
			s.SetFaults(kv.Faults{StaleLists: true})
			s.ForcePut("members/a", []byte("3"))
			time.Sleep(2 * time.Second)
			s.SetFaults(kv.Faults{})
		}, coalesceDelay},
		"lists stay old": {func(s *kv.Store) {
			s.SetFaults(kv.Faults{StaleLists: true})
			s.ForcePut("members/a", []byte("3"))
		}, time.Duration(roster.DefaultReadPlan.QuietReads+2) * coalesceDelay},
		"lists stay older than what is known": {func(s *kv.Store) {
			s.SetFaults(kv.Faults{StaleLists: true})
			time.Sleep(time.Duration(roster.DefaultReadPlan.QuietReads+2) * coalesceDelay) // the follower waits for changes again
			s.ForcePut("members/a", []byte("2 and a half"))
			time.Sleep(coalesceDelay)
			s.ForcePut("members/a", []byte("3"))
		}, time.Duration(roster.DefaultReadPlan.QuietReads+2) * coalesceDelay},
		"a key is deleted": {func(s *kv.Store) {
			s.ForcePut("members/a", []byte("3"))
			s.Revoke("members/b")
		}, coalesceDelay},
		"history is dropped meanwhile": {func(s *kv.Store) {
			s.ForcePut("members/a", []byte("3"))
			s.Compact()
		}, 2 * coalesceDelay},
		"store is restored from a copy meanwhile": {func(s *kv.Store) {
			before := s.Copy()
			s.ForcePut("members/a", []byte("2 and a half"))
			s.Restore(before)
			s.ForcePut("members/a", []byte("3"))
		}, 2 * coalesceDelay},
		"outage in which the history is dropped": {func(s *kv.Store) {
			s.SetFaults(kv.Faults{Down: true})
			s.Compact()
			s.ForcePut("members/a", []byte("3"))
			s.Revoke("members/b")
			time.Sleep(5 * time.Second)
			s.SetFaults(kv.Faults{})
		}, time.Second},
		"outage": {func(s *kv.Store) {
			s.SetFaults(kv.Faults{Down: true})
			s.ForcePut("members/a", []byte("3"))
			time.Sleep(5 * time.Second)
			s.SetFaults(kv.Faults{})
		}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := kv.New()
				s.ForcePut("members/a", []byte("1"))
				s.ForcePut("members/b", []byte("1"))
				ctx, cancel := context.WithCancel(t.Context())
				var group conc.WaitGroup
				defer group.Wait()
				defer cancel()
				observed := followWithPlan(ctx, &group, s.ForNode("node_1"))
				time.Sleep(time.Second)
				s.ForcePut("members/a", []byte("2")) // the follower begins to read stale lists
				time.Sleep(2 * coalesceDelay)
				is.Equal(observed.get("members/a"), "2")
				test.disrupt(s)
				time.Sleep(test.within + 10*time.Millisecond)
				is.Equal(observed.get("members/a"), "3")
				is.Equal(observed.get("members/b"), string(s.Item("members/b").Value))
			})
		})
	}
}

// Pattern: instances are replaced one after the other for half a minute. Guards against a call at the full price for each
// change at each node, which was the highest price of a fleet of 96 nodes.
func TestFollowerMakesFewCallsWhileKeysChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := kv.New()
		s.ForcePut("members/a", []byte("0"))
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		observed := followWithPlan(ctx, &group, s.ForNode("node_1"))
		for n := range 60 {
			time.Sleep(coalesceDelay)
			s.ForcePut("members/a", fmt.Append(nil, n))
		}
		time.Sleep(2 * coalesceDelay)
		is.Equal(observed.get("members/a"), "59")
		is.True(s.Calls()-s.StaleLists() <= 3) // a list, a wait that returned and perhaps another
		is.True(s.StaleLists() <= 65)
	})
}

// Pattern: all nodes lose the store at the same time. Guards against attempts to reach it again at the full price, which
// grow with nodes times the duration of the outage.
func TestFollowerMakesFewCallsDuringAnOutage(t *testing.T) {
	for name, plan := range map[string]*roster.ReadPlan{
		"with stale lists": roster.NewReadPlan(planConfig),
		"without":          nil,
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
				f := store.NewFollower(store.FollowerConfig{
					Store: s.ForNode("node_1"), Prefix: "op/", WatchTimeout: 30 * time.Second,
					CoalesceDelay: func() time.Duration { return coalesceDelay },
					Plan:          plan,
					Known:         func() int { return 1 },
					OnList: func(_ context.Context, snapshot store.Snapshot) {
						for _, item := range snapshot.Items {
							observed.set(item)
						}
					},
					OnChange:    func(context.Context, store.Changes) {},
					OnLost:      func(error) {},
					OnRecovered: func() {},
				})
				group.Go(func() { f.Run(ctx) })
				time.Sleep(time.Second)
				before := s.Calls() - s.StaleLists()
				s.SetFaults(kv.Faults{Down: true})
				s.Compact()
				time.Sleep(20 * time.Second)
				is.Equal(s.Calls()-s.StaleLists(), before)
				s.ForcePut("op/config", []byte("2"))
				s.SetFaults(kv.Faults{})
				time.Sleep(time.Second)
				is.Equal(observed.get(), "2")
				is.True(s.Calls()-s.StaleLists() <= before+2) // a list and a wait for changes
			})
		})
	}
}
