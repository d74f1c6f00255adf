package routefeed_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routefeed"
	"github.com/comfreyhoist/comfreyhoist/internal/control/routes"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

const routesKey = "op/routes"

// bound is the time after a change of the routes in the store by which the change must be in force.
const bound = 2 * time.Second

func decode(value []byte) (*routes.Table, error) {
	var c routes.Configuration
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, err
	}
	return routes.NewTable(c)
}

// putVersion writes routes with the version, as an operator does.
func putVersion(tb testing.TB, s *kv.Store, version uint64) {
	value, err := json.Marshal(routes.Configuration{Version: version})
	is.New(tb).NoErr(err)
	s.ForcePut(routesKey, value)
}

// noPeers is the peers of a node that no other node answers.
type noPeers struct{}

// NewerRoutes returns an error.
func (noPeers) NewerRoutes(context.Context, peer.UseOptions, uint64) (peer.StoredRoutes, error) {
	return peer.StoredRoutes{}, errors.New("no such node")
}

// testNode is a node that follows the routes.
type testNode struct {
	store      *kv.Store
	controller *routefeed.Controller
	board      *board.Loop
}

// newNode returns a node that follows the routes of the store, in a fleet of the given size.
func newNode(s *kv.Store, name string, size int) *testNode {
	loop := board.NewLoop(board.Board{Self: board.Self{Node: name}, Members: membersOf(size)})
	c := routefeed.NewController(routefeed.Config{
		Board: loop, Store: s.ForNode(name), Key: routesKey, Decode: decode, Bound: bound,
		Log: events.NewLog(io.Discard, zerolog.DebugLevel, name),
	})
	return &testNode{store: s, controller: c, board: loop}
}

// start runs the node until the context ends.
func (n *testNode) start(ctx context.Context, group *conc.WaitGroup, peers routefeed.Peers) {
	group.Go(func() { n.board.Run(ctx) })
	group.Go(func() { n.controller.Run(ctx, peers) })
}

// runNode runs the test with one node that has version 1 and whose store is s.
func runNode(t *testing.T, test func(is *is.I, s *kv.Store, n *testNode)) {
	synctest.Test(t, func(t *testing.T) {
		s := kv.New()
		putVersion(t, s, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		n := newNode(s, "node_1", 1)
		n.start(ctx, &group, noPeers{})
		time.Sleep(time.Second)
		is := is.New(t)
		is.Equal(n.controller.InForce(), uint64(1))
		test(is, s, n)
	})
}

// Guards against routes that stay old because a response to one watch is lost while its connection stays open and the
// store answers all other calls.
func TestSilentWatchHidesNoChange(t *testing.T) {
	silent := kv.Faults{SilentWatches: map[string]bool{"node_1": true}}
	for name, disrupt := range map[string]func(s *kv.Store){
		"watch that waits":       func(s *kv.Store) { s.SetFaults(silent); time.Sleep(3 * time.Second) },
		"watch begun afterwards": func(s *kv.Store) { s.SetFaults(silent); time.Sleep(40 * time.Second) },
		"silent once more": func(s *kv.Store) {
			s.SetFaults(silent)
			putVersion(t, s, 2)
			time.Sleep(bound)
			s.SetFaults(kv.Faults{})
			time.Sleep(bound)
			s.SetFaults(silent)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runNode(t, func(is *is.I, s *kv.Store, n *testNode) {
				disrupt(s)
				putVersion(t, s, 3)
				time.Sleep(bound)
				is.Equal(n.controller.InForce(), uint64(3))
			})
		})
	}
}

// Guards against a node that begins with routes that were replaced before it started, because only old lists are to be had.
func TestNodeDoesNotBeginWithOldRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := kv.New()
		putVersion(t, s, 1)
		s.SetFaults(kv.Faults{StaleLists: true})
		putVersion(t, s, 2)
		s.SetFaults(kv.Faults{StaleLists: true, RefuseLatest: true})
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		n := newNode(s, "node_1", 1)
		n.start(ctx, &group, noPeers{})
		time.Sleep(5 * time.Second)
		is.Equal(n.controller.InForce(), uint64(0))
		s.SetFaults(kv.Faults{})
		time.Sleep(bound)
		is.Equal(n.controller.InForce(), uint64(2))
	})
}

// Guards against a change that stays unseen while the store answers only calls whose result may be old.
func TestOldListsShowAChangeWhileTheStoreRefusesOtherCalls(t *testing.T) {
	runNode(t, func(is *is.I, s *kv.Store, n *testNode) {
		s.SetFaults(kv.Faults{RefuseLatest: true, SilentWatches: map[string]bool{"node_1": true}})
		putVersion(t, s, 3)
		time.Sleep(bound)
		is.Equal(n.controller.InForce(), uint64(3))
	})
}
