package routefeed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

// onePeer is a peer that always returns the same routes.
type onePeer struct {
	stored peer.StoredRoutes
}

// NewerRoutes returns the routes of the peer.
func (p onePeer) NewerRoutes(context.Context, peer.UseOptions, uint64) (peer.StoredRoutes, error) {
	return p.stored, nil
}

// versionValue returns a value as in the store, with one route whose prefix is given.
func versionValue(tb testing.TB, version uint64, prefix string) []byte {
	value, err := json.Marshal(routes.Configuration{
		Version:  version,
		Services: []routes.Service{{Name: "crew"}},
		Routes: []routes.Route{{
			Name: "sheets", Host: "sheets.example", Prefix: prefix, Timeout: time.Second, MaxAttempts: 1,
			Clusters: []routes.Cluster{{Service: "crew", Weight: 1}},
		}},
	})
	is.New(tb).NoErr(err)
	return value
}

// Guards against routes that another node passes on and that are older, invalid or unreadable, whatever version it claims.
func TestRoutesOfAnotherNodeAreChecked(t *testing.T) {
	for name, test := range map[string]struct {
		value []byte
		want  uint64
	}{
		"newer":                  {versionValue(t, 6, "/"), 6},
		"older than claimed":     {versionValue(t, 4, "/"), 5},
		"the same":               {versionValue(t, 5, "/"), 5},
		"without a version":      {versionValue(t, 0, "/"), 5},
		"cut short":              {versionValue(t, 6, "/")[:20], 5},
		"no JSON":                {[]byte("\x00\xff"), 5},
		"none, with the version": {nil, 5},
	} {
		t.Run(name, func(t *testing.T) {
			runWithPeer(t, test.value, func(is *is.I, n *testNode) {
				is.Equal(n.controller.InForce(), test.want)
				is.Equal(n.board.Snapshot().Routes.Version, test.want)
			})
		})
	}
}

// runWithPeer runs the test with a node that has had version 5 and a peer for the length of the bound. The peer says that it
// has version 6, with the value.
func runWithPeer(t *testing.T, value []byte, test func(is *is.I, n *testNode)) {
	synctest.Test(t, func(t *testing.T) {
		s := kv.New()
		putVersion(t, s, 5)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		n := newNode(s, "node_1", 2)
		n.start(ctx, &group, onePeer{peer.StoredRoutes{Version: 6, Value: value}})
		time.Sleep(bound)
		test(is.New(t), n)
	})
}

// Guards against a node that lists the routes again and again, because another one says that it has a version that neither it
// nor the store has.
func TestVersionThatNobodyHasCostsFewCalls(t *testing.T) {
	const claims, interval = 400, 50 * time.Millisecond
	runWithPeer(t, nil, func(is *is.I, n *testNode) {
		before := n.store.Calls()
		for range claims {
			n.controller.HeardAt("node_0", 1000)
			time.Sleep(interval)
		}
		// a list and a watch for each bound, and the checks beside the watches
		is.True(n.store.Calls()-before <= 4*int(claims*interval/bound)+2)
	})
}

// fleetPeers connects nodes of one process.
type fleetPeers struct {
	nodes map[string]*testNode
	// source is the name of the node that asks.
	source string
}

// NewerRoutes asks the node at the address.
func (p fleetPeers) NewerRoutes(_ context.Context, u peer.UseOptions, version uint64) (peer.StoredRoutes, error) {
	c := p.nodes[u.Address].controller
	c.Heard(p.source, version)
	stored := c.Stored()
	if stored.Version <= version {
		stored.Value = nil
	}
	return stored, nil
}

// Guards against an invalid route in force that another node has passed on.
func TestInvalidRouteOfAnotherNodeIsLeftOut(t *testing.T) {
	runWithPeer(t, versionValue(t, 6, "sheets"), func(is *is.I, n *testNode) {
		is.Equal(n.controller.InForce(), uint64(6))
		_, found := n.board.Snapshot().Routes.Match("sheets.example", "/sheets/")
		is.True(!found)
	})
}

// Guards against routes that spread too slowly between nodes without traffic, while the store refuses half of them.
func TestNewerRoutesSpreadWithinTheBound(t *testing.T) {
	for _, size := range []int{30, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := kv.New()
				putVersion(t, s, 1)
				ctx, cancel := context.WithCancel(t.Context())
				var group conc.WaitGroup
				defer group.Wait()
				defer cancel()
				nodes, refused := map[string]*testNode{}, map[string]bool{}
				for i := range size {
					name := fmt.Sprintf("node_%d", i)
					nodes[name] = newNode(s, name, size)
					refused[name] = i%2 == 0
				}
				for name, n := range nodes {
					n.start(ctx, &group, fleetPeers{nodes, name})
				}
				time.Sleep(time.Second)
				s.SetFaults(kv.Faults{RefuseNodes: refused, SilentWatches: refused})
				calls := s.Calls() - s.StaleLists()
				putVersion(t, s, 2)
				time.Sleep(bound)
				behind := 0
				for _, n := range nodes {
					if n.controller.InForce() != 2 {
						behind++
					}
				}
				is.Equal(behind, 0)
				is.True(s.Calls()-s.StaleLists()-calls <= 3*size) // a list and watches a node, however many are refused
			})
		})
	}
}

// membersOf returns a list of members node_0 and so on, whose peer addresses are their names.
func membersOf(size int) board.Members {
	members := board.Members{ByNode: map[string]membership.Member{}}
	for i := range size {
		name := fmt.Sprintf("node_%d", i)
		members.ByNode[name] = membership.Member{Node: name, PeerAddress: name}
	}
	return members
}
