package once_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/once"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const (
	// cutTime is how long an availability zone is cut off. The epochs agreed on beforehand end after a third of it.
	cutTime = 24 * time.Second
	// maxRefusalLatency limits the latency of a refusal.
	maxRefusalLatency = 500 * time.Millisecond
	// maxLostRatio is the fraction of the requests that may fail in the zones that still reach each other.
	maxLostRatio = 0.01
)

// While an availability zone is cut off from the platform and all other zones, requests with minted keys must run on both sides of
// the partition, and requests with callers' own keys outside of it. If both sides took the same key, it would run twice; a request
// that cannot run safely must be refused early instead of waiting for the other side.
func TestKeysDuringZonePartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := once.Deployment(6)
	f := harness.Start(t, fleet.Config{Deployment: deployment})
	harness.Eventually(t, 20*time.Second, func() bool { return allOwnersKnown(t, f) })
	var report once.Report
	var group conc.WaitGroup
	group.Go(func() {
		report = once.Run(t.Context(), once.Config{Fleet: f, Service: "bookings", Duration: cutTime, Seed: 5, Callers: 6, SingleSend: true, Outage: once.ZoneOutage})
	})
	time.Sleep(cutTime / 2)
	testKeyOfIsolatedOwner(t, f)
	group.Wait()
	for _, v := range report.Violations {
		t.Error(v)
	}
	for name, s := range report.FirstSends {
		t.Logf("%s: %+v", name, s)
		is.True(s.Sent > 0)
		is.True(s.SlowestRefusal < maxRefusalLatency)
	}
	inside := f.Nodes[0].Zone
	minted := report.FirstSends[string(once.Minted)+" "+inside]
	is.True(minted.Sent-minted.Ran <= failuresBeforeEjection(f, inside))
	for _, kind := range []once.KeyKind{once.Timed, once.Opaque} {
		s := report.FirstSends[string(kind)+" "+inside]
		is.Equal(s.Ran+s.Refused, s.Sent)
	}
	for _, zone := range deployment.Zones[1:] {
		is.True(lostRatio(report, once.Minted, zone) <= maxLostRatio)
		is.True(lostRatio(report, once.Timed, zone) <= maxLostRatio)
		s := report.FirstSends[string(once.Opaque)+" "+zone]
		is.Equal(s.Ran+s.Refused, s.Sent)
		is.True(s.Ran > 0)
	}
}

// testKeyOfIsolatedOwner sends a new key that names an owner in the isolated zone; the caller knows the owner from an earlier
// response. The key must run inside the zone, once, and be refused outside.
func testKeyOfIsolatedOwner(t *testing.T, f *fleet.Fleet) {
	is := is.New(t)
	zones := map[string]string{}
	for _, n := range f.Nodes {
		zones[n.Name] = n.Zone
	}
	var known outcome.Key
	harness.Eventually(t, 10*time.Second, func() bool {
		s := book(f.Nodes[0], "", "a wash")
		known, _ = outcome.ParseKey(s.Key)
		return s.Outcome == "ran" && zones[known.Owner.Name] == f.Nodes[0].Zone
	})
	key := outcome.Mint(known.Owner, uuid.Must(uuid.NewV7()))
	for _, n := range f.Nodes {
		s := book(n, key, "another wash")
		if n.Zone == f.Nodes[0].Zone {
			is.Equal(s.Outcome, "ran")
		} else {
			is.Equal(s.Outcome, "not_admitted")
		}
	}
	is.Equal(startCount(f, key), 1)
}

// lostRatio returns the fraction of first sends in the zone that did not run.
func lostRatio(report once.Report, kind once.KeyKind, zone string) float64 {
	s := report.FirstSends[string(kind)+" "+zone]
	return float64(s.Sent-s.Ran) / float64(s.Sent)
}

// failuresBeforeEjection returns how many attempts to nodes outside may fail before each node inside has ejected all of them.
func failuresBeforeEjection(f *fleet.Fleet, inside string) int {
	insideCount := 0
	for _, n := range f.Nodes {
		if n.Zone == inside {
			insideCount++
		}
	}
	return insideCount * (len(f.Nodes) - insideCount) * routing.DefaultConfig("", "").FailuresToEject
}
