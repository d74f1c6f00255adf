package routed_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

// Guards against requests that a node refuses as an older version of the routes says, because the store refuses the node,
// or never answers its watches, while other nodes have the newer version.
func TestNodeLearnsNewerRoutesFromOthers(t *testing.T) {
	for name, test := range map[string]struct {
		// behind are the nodes whose watches are never answered.
		behind map[string]bool
		// isRefused reports whether the store refuses all their other calls, too.
		isRefused bool
		// hasTraffic reports whether callers send requests at node_1, which it forwards to other nodes.
		hasTraffic bool
	}{
		"watches are silent":                     {map[string]bool{"node_1": true}, false, true},
		"store refuses the node":                 {map[string]bool{"node_1": true}, true, true},
		"store refuses the node, no traffic":     {map[string]bool{"node_1": true}, true, false},
		"store refuses two of three":             {map[string]bool{"node_1": true, "node_2": true}, true, true},
		"store refuses two of three, no traffic": {map[string]bool{"node_1": true, "node_2": true}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, twoServices(1))
			behind := f.add(t, "zone_1", "crew", hello)
			f.add(t, "zone_1", "bookings", hello)
			f.add(t, "zone_1", "bookings", hello)
			f.waitReady(t)
			faults := kv.Faults{SilentWatches: test.behind}
			if test.isRefused {
				faults.RefuseNodes = test.behind
			}
			f.store.SetFaults(faults)
			f.setRoutes(t, withRoute(2, "added.example"))
			client := &http.Client{}
			for end := time.Now().Add(routesBound); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				if test.hasTraffic {
					behind.call(t, client, "POST", "deposits.example", "/1/")
				}
			}
			is.Equal(behind.call(t, client, "POST", "added.example", "/1/").status, http.StatusOK)
		})
	}
}
