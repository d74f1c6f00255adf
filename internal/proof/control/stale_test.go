package control_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const zoneKey = "zone/lisbon_1"

// TestStaleZoneWrite guards against a late write that overwrites a newer one. A leader is frozen while its batch of the zone's
// members is on the way to the platform; the batch arrives after the next leader has written, and must be refused.
func TestStaleZoneWrite(t *testing.T) {
	is := is.New(t)
	deployment := fleet.Chain()
	deployment.Services[1].Instances = 6 // three nodes in each zone
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: deployment})
	zoneNodes, _ := splitByZone(f, "lisbon_1")
	frozen := awaitLeader(t, zoneNodes)
	followers := without(zoneNodes, frozen)
	changed, candidate := followers[0], followers[1]
	term := termOf(t, frozen)

	hold := f.Store.HoldNext(zoneKey)
	t.Cleanup(hold.Release)
	changed.Kill() // causes a write by the leader
	harness.Eventually(t, electionTimeout, func() bool { return isClosed(hold.Arrived) })
	frozen.Freeze()
	is.Equal(awaitLeader(t, []*fleet.Node{candidate}), candidate)
	is.True(termOf(t, candidate) > term)
	harness.Eventually(t, electionTimeout, func() bool { return writtenTerm(t, f) == termOf(t, candidate) })

	hold.Release()
	harness.Eventually(t, electionTimeout, func() bool { return len(heldWrites(f)) == 1 })
	stale := heldWrites(f)[0]
	is.Equal(batchTerm(t, stale.Value), term) // the write of the frozen leader
	is.True(stale.Refused())
	is.Equal(writtenTerm(t, f), termOf(t, candidate))

	frozen.Resume()
	alive := without(f.Nodes, changed)
	harness.Eventually(t, healTimeout, func() bool { return allRouteToAll(t, alive) && follows(t, frozen, candidate) })
	is.Equal(writtenTerm(t, f), termOf(t, candidate))
	checkTermOrder(t, f.Store.Writes(zoneKey))
}

// checkTermOrder fails the test if a batch took effect after a batch with a higher term.
func checkTermOrder(t *testing.T, writes []store.Write) {
	t.Helper()
	var latest uint64
	for _, w := range writes {
		term := batchTerm(t, w.Value)
		if !w.Refused() && term < latest {
			t.Fatalf("a batch of term %d took effect after one of term %d", term, latest)
		}
		if !w.Refused() {
			latest = term
		}
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func heldWrites(f *fleet.Fleet) []store.Write {
	var held []store.Write
	for _, w := range f.Store.Writes(zoneKey) {
		if w.Held {
			held = append(held, w)
		}
	}
	return held
}

// batchTerm returns the term of the leader that wrote the batch of a zone's members.
func batchTerm(t *testing.T, value []byte) uint64 {
	t.Helper()
	var batch struct {
		Term uint64 `json:"term"`
	}
	if err := json.Unmarshal(value, &batch); err != nil {
		t.Fatalf("batch: %v", err)
	}
	return batch.Term
}

// writtenTerm returns the term of the batch that the platform stores.
func writtenTerm(t *testing.T, f *fleet.Fleet) uint64 {
	t.Helper()
	entry, err := platformClient(f).Get(t.Context(), zoneKey)
	if err != nil {
		t.Fatalf("get: %v", err)
	}
	return batchTerm(t, entry.Value)
}

func termOf(t *testing.T, n *fleet.Node) uint64 {
	d, _ := dump(t, n)
	return d.Control.Term
}

func follows(t *testing.T, n, leader *fleet.Node) bool {
	d, ok := dump(t, n)
	return ok && d.Control.Role == membership.Following && d.Control.Followed == leader.Name
}
