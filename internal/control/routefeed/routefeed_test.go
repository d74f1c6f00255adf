package routefeed_test

import (
	"context"
	"encoding/json"
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

// testNode is a node that follows the routes.
type testNode struct {
	controller *routefeed.Controller
	board      *board.Loop
}

// startNode starts a node that follows the routes of the store until the context ends.
func startNode(ctx context.Context, group *conc.WaitGroup, s *kv.Store, name string) *testNode {
	loop := board.NewLoop(board.Board{Self: board.Self{Node: name}})
	c := routefeed.NewController(routefeed.Config{
		Board: loop, Store: s.ForNode(name), Key: routesKey, Decode: decode, Bound: bound,
		Log: events.NewLog(io.Discard, zerolog.DebugLevel, name),
	})
	group.Go(func() { loop.Run(ctx) })
	group.Go(func() { c.Run(ctx) })
	return &testNode{controller: c, board: loop}
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
		n := startNode(ctx, &group, s, "node_1")
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
