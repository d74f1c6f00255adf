package once_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/once"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

func book(n *fleet.Node, key, body string) once.Send {
	return once.SendRequest(http.DefaultClient, once.Request{
		Target: n.Caller, Service: "bookings", Method: http.MethodPost, Path: "/bookings", Key: key, Body: body,
	})
}

// startCount returns the number of runs started under the key, summed over all backend servers.
func startCount(f *fleet.Fleet, key string) int {
	count := 0
	for _, n := range f.Nodes {
		for _, r := range n.Server.Ledger().Runs() {
			if r.Key == key {
				count += r.Started
			}
		}
	}
	return count
}

// keyOwnedByAnother returns a key with the current time whose owner is not the node, and the name of the owner.
func keyOwnedByAnother(t *testing.T, f *fleet.Fleet, n *fleet.Node) (string, string) {
	dump, err := fleet.FetchDump(t.Context(), n.Backend)
	is.New(t).NoErr(err)
	zones := once.Deployment(len(f.Nodes)).Zones
	for {
		key := uuid.Must(uuid.NewV7()).String()
		shard := dump.Board.KeyOwners.Shards[outcome.ShardOf(zones, key)]
		if owner, ok := shard.Owner("bookings", key, time.Now().UnixMilli()); ok && owner.Name != n.Name {
			return key, owner.Name
		}
	}
}

// A request that is sent again under its key must get the first response and must not run again.
func TestResends(t *testing.T) {
	t.Parallel()
	deployment := once.Deployment(3)
	deployment.Services[0].Behaviour.ServiceTime = 400 * time.Millisecond
	deployment.Services[0].Behaviour.Spread = 0
	f := harness.Start(t, fleet.Config{Deployment: deployment})
	harness.Eventually(t, 20*time.Second, func() bool { return allOwnersKnown(t, f) })
	for name, key := range map[string]string{
		"key with a time":              uuid.Must(uuid.NewV7()).String(),
		"key without a time":           "booking-17",
		"key minted by the entry node": "",
	} {
		t.Run(name, func(t *testing.T) { testResend(t, f, key) })
	}
	t.Run("response lost on a silent connection", func(t *testing.T) { testSilentConnection(t, f) })
	for _, n := range f.Nodes {
		quick := n.Server.Behaviour()
		quick.ServiceTime = 20 * time.Millisecond
		n.Server.SetBehaviour(quick)
	}
	t.Run("platform unavailable", func(t *testing.T) { testPlatformOutage(t, f) })
	t.Run("planned stops", func(t *testing.T) { testPlannedLeave(t, f) })
}

// testResend sends one key through one node, then through all nodes concurrently, and at last with a different body, which must be
// refused.
func testResend(t *testing.T, f *fleet.Fleet, key string) {
	is := is.New(t)
	first := book(f.Nodes[0], key, "a wash")
	is.Equal(first.Outcome, "ran")
	sends := make([]once.Send, len(f.Nodes))
	var group conc.WaitGroup
	for i, n := range f.Nodes {
		group.Go(func() { sends[i] = book(n, first.Key, "a wash") })
	}
	group.Wait()
	for _, s := range sends {
		is.Equal(s.Outcome, "ran")
		is.Equal(s.Body, first.Body)
	}
	is.Equal(startCount(f, first.Key), 1)
	other := book(f.Nodes[1], first.Key, "another wash")
	is.Equal(other.Status, http.StatusUnprocessableEntity)
	is.Equal(other.Reason, "key_reused")
}

// testSilentConnection silences the connections between the entry node and the key owner while the owner runs the request. The
// entry node must ask again on a new connection and return the response to the caller.
func testSilentConnection(t *testing.T, f *fleet.Fleet) {
	is := is.New(t)
	entry := f.Nodes[0]
	key, owner := keyOwnedByAnother(t, f, entry)
	var answer once.Send
	var group conc.WaitGroup
	group.Go(func() { answer = book(entry, key, "a wash") })
	harness.Eventually(t, 10*time.Second, func() bool { return startCount(f, key) == 1 })
	is.True(f.Network.SilenceOpen(entry.Name, owner) > 0)
	group.Wait()
	is.Equal(answer.Outcome, "ran")
	is.Equal(startCount(f, key), 1)
}
