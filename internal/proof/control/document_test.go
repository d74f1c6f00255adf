package control_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

func TestDocumentsAndMembers(t *testing.T) {
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: fleet.Chain()})

	t.Run("in force on all nodes within seconds", func(t *testing.T) {
		for i, n := range f.Nodes {
			stored := put(t, n, 100+i)
			accepted := time.Now()
			harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, f.Nodes, stored.Operation) })
			t.Logf("accepted by %s, in force on all nodes after %s", n.Name, time.Since(accepted))
		}
	})

	t.Run("concurrent writes through two nodes", func(t *testing.T) {
		is := is.New(t)
		current, err := client(f.Nodes[0]).Get(t.Context(), service)
		is.NoErr(err)
		var stored [2]zone.StoredDocument
		var failed [2]error
		f.Store.SetFaults(store.Faults{Delay: 50 * time.Millisecond}) // both writers read before either one writes
		var group conc.WaitGroup
		for i := range failed {
			group.Go(func() {
				stored[i], failed[i] = client(f.Nodes[i]).Put(t.Context(), service, document(200+i), current.Tag(), "")
			})
		}
		group.Wait()
		f.Store.SetFaults(store.Faults{})
		winner := 0
		if failed[0] != nil {
			winner = 1
		}
		is.NoErr(failed[winner])
		is.Equal(codeOf(failed[1-winner]), operator.CodeRevisionConflict)
		harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, f.Nodes, stored[winner].Operation) })
	})

	t.Run("response lost after the write", func(t *testing.T) {
		is := is.New(t)
		current, err := client(f.Nodes[1]).Get(t.Context(), service)
		is.NoErr(err)
		f.Store.SetFaults(store.Faults{LoseAnswers: true})
		stored, err := client(f.Nodes[1]).Put(t.Context(), service, document(300), current.Tag(), "lost-answer")
		f.Store.SetFaults(store.Faults{})
		is.NoErr(err)
		is.Equal(stored.Revision, current.Revision+1) // written once
		harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, f.Nodes, "lost-answer") })
	})

	t.Run("restored and lagging platform", func(t *testing.T) { testRestored(t, f, f.Store.Snapshot, 400) })

	t.Run("restored platform whose revision has advanced", func(t *testing.T) {
		advanced := func() store.Snapshot { return f.Store.Snapshot().WithAdvancedRevision(advancedRevisions) }
		testRestored(t, f, advanced, 500)
	})

	t.Run("crashed member gets no new requests", func(t *testing.T) {
		zoneNodes, _ := splitByZone(f, "lisbon_2")
		follower := without(zoneNodes, awaitLeader(t, zoneNodes))[0]
		follower.Kill()
		killed := time.Now()
		harness.Eventually(t, routingTimeout, func() bool { return !anyRoutesTo(t, without(f.Nodes, follower), follower) })
		t.Logf("no node in any zone routes to the member after %s", time.Since(killed))
	})
}

// advancedRevisions is more than the number of writes that the fleet makes between a snapshot of the platform and its restoration.
const advancedRevisions = 1000

// testRestored restores the platform to an older snapshot and then delays its reads. A node that trusts the platform would
// return to the older document; the test polls all nodes for that. The snapshot function returns the content to restore; edit
// is the deadline, in milliseconds, that distinguishes the documents.
func testRestored(t *testing.T, f *fleet.Fleet, snapshot func() store.Snapshot, edit int) {
	is := is.New(t)
	older := snapshot()
	stored := put(t, f.Nodes[2], edit)
	harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, f.Nodes, stored.Operation) })
	f.Store.Restore(older)
	harness.Eventually(t, healTimeout, func() bool {
		is.True(allUseEdit(t, f.Nodes, stored.Operation)) // no node returned to the older document
		return platformHasEdit(t, f, stored.Operation)
	})
	f.Store.SetFaults(store.Faults{Lag: 500 * time.Millisecond})
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		is.True(allUseEdit(t, f.Nodes, stored.Operation))
	}
	f.Store.SetFaults(store.Faults{})
	is.True(platformHasEdit(t, f, stored.Operation))
	next := put(t, f.Nodes[3], edit+1)
	is.True(next.Revision > stored.Revision)
	harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, f.Nodes, next.Operation) })
}

func platformHasEdit(t *testing.T, f *fleet.Fleet, edit string) bool {
	entry, err := platformClient(f).Get(t.Context(), zone.DocumentPrefix+service)
	if err != nil {
		return false
	}
	stored, err := zone.ParseStored(entry.Value)
	return err == nil && stored.Operation == edit
}
