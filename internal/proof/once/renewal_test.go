package once_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/keyowners"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/once"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

// storedShards returns the shards that the platform stores and the revisions of their records.
func storedShards(t *testing.T, f *fleet.Fleet) (map[string]outcome.Shard, map[string]uint64) {
	is := is.New(t)
	client := platform.NewClient(platform.Config{URL: f.StoreURL, Timeout: time.Second})
	listed, err := client.List(t.Context(), keyowners.Prefix)
	is.NoErr(err)
	shards, revisions := map[string]outcome.Shard{}, map[string]uint64{}
	for _, e := range listed.Entries {
		var s outcome.Shard
		is.NoErr(json.Unmarshal(e.Value, &s))
		name := e.Key[len(keyowners.Prefix):]
		shards[name], revisions[name] = s, e.Revision
	}
	return shards, revisions
}

// Nodes extend the epochs of their shards among themselves. A renewal that needs the platform, or a partition that makes another
// zone take over a live shard, would fail here.
func TestRenewal(t *testing.T) {
	t.Parallel()
	f := harness.Start(t, fleet.Config{Deployment: once.Deployment(3)})
	harness.Eventually(t, 20*time.Second, func() bool { return allOwnersKnown(t, f) })
	// The first zone leader may have taken over the shards of zones that had no leader yet.
	harness.Eventually(t, 20*time.Second, func() bool {
		shards, _ := storedShards(t, f)
		for name, s := range shards {
			if s.Last().Zone != name || len(s.Keepers) != 2 {
				return false
			}
		}
		return len(shards) == len(f.Nodes)
	})
	t.Run("epochs are extended without platform writes", func(t *testing.T) { testRenewalWithoutWrites(t, f) })
	t.Run("zone that reaches only the platform keeps its shard", func(t *testing.T) { testIsolatedZoneKeepsShard(t, f) })
}

// testRenewalWithoutWrites waits for longer than the horizon of one renewal. All shards must have current owners, and no record
// at the platform may have been written.
func testRenewalWithoutWrites(t *testing.T, f *fleet.Fleet) {
	is := is.New(t)
	_, before := storedShards(t, f)
	time.Sleep(keyowners.DefaultTiming.Horizon + time.Second)
	is.True(allOwnersKnown(t, f))
	_, after := storedShards(t, f)
	is.Equal(after, before)
}

// testIsolatedZoneKeepsShard cuts a zone off from the others, but not from the platform, for longer than the time after which an
// unrenewed shard is taken over.
func testIsolatedZoneKeepsShard(t *testing.T, f *fleet.Fleet) {
	is := is.New(t)
	isolated := []string{f.Nodes[2].Name}
	others := []string{f.Nodes[0].Name, f.Nodes[1].Name}
	f.Network.SetBoth(isolated, others, proxy.Fault{Cut: true})
	defer f.Network.SetBoth(isolated, others, proxy.Fault{})
	time.Sleep(keyowners.DefaultTiming.Horizon + keyowners.DefaultTiming.TakeoverDelay + 3*time.Second)
	shards, _ := storedShards(t, f)
	for name, s := range shards {
		is.Equal(s.Last().Zone, name)
	}
}
