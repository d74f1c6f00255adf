package control_test

import (
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

func platformClient(f *fleet.Fleet) *platform.Client {
	return platform.NewClient(platform.Config{URL: f.StoreURL, Timeout: time.Second})
}

// serves sends requests through the nodes and reports whether each was run.
func serves(t *testing.T, nodes []*fleet.Node) bool {
	var targets []string
	for _, n := range nodes {
		targets = append(targets, n.Caller)
	}
	results := load.Run(t.Context(), load.Config{
		Streams:  []load.Stream{{Name: "windows", Service: service, Method: http.MethodGet, Path: "/urgent/windows", Rate: 50, Timeout: 5 * time.Second}},
		Targets:  targets,
		Duration: 500 * time.Millisecond,
		Seed:     1,
	})
	for _, r := range results {
		if r.Outcome != "ran" {
			return false
		}
	}
	return len(results) > 0
}

func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	f := harness.StartKilled(t, fleet.Config{Deployment: fleet.Chain()})
	first, _ := inZone(f, "lisbon_1")
	second, _ := inZone(f, "lisbon_2")
	f.Store.SetFaults(store.Faults{Down: true})

	asked := time.Now()
	_, err := client(f.Nodes[0]).Put(t.Context(), service, document(500), "", "")
	is.Equal(codeOf(err), operator.CodePlatformUnreachable)
	is.True(time.Since(asked) < 2*time.Second) // at once, not after a long wait

	// The leases are over by now; a leaving member must still be known in every zone.
	time.Sleep(zone.DefaultTiming.LeaseTTL + 500*time.Millisecond)
	is.True(serves(t, f.Nodes))
	leaving := second[0]
	is.NoErr(client(leaving).Drain(t.Context()))
	drained := time.Now()
	harness.Eventually(t, noWorkAfter, func() bool { return !takesWork(t, without(f.Nodes, leaving), leaving) })
	t.Logf("a drained member was passed over in all zones after %s, without the platform", time.Since(drained))

	dead := first[0]
	dead.Kill()
	alive := without(without(f.Nodes, leaving), dead)
	harness.Eventually(t, leadWithin, func() bool { return !takesWork(t, alive, dead) })
	is.True(serves(t, alive))

	f.Store.SetFaults(store.Faults{})
	harness.Eventually(t, healWithin, func() bool { return leader(t, first[1:]) != nil })
	stored := put(t, alive[0], 501)
	harness.Eventually(t, inForceWithin, func() bool { return agree(t, alive, stored.Operation) })
}

func TestFrozenLeader(t *testing.T) {
	is := is.New(t)
	f := harness.StartKilled(t, fleet.Config{Deployment: fleet.Chain()})
	zoneNodes, _ := inZone(f, "lisbon_1")
	frozen := settledLeader(t, zoneNodes)
	others := without(f.Nodes, frozen)
	frozen.Freeze()
	froze := time.Now()
	successor := settledLeader(t, without(zoneNodes, frozen))
	t.Logf("another node led after %s", time.Since(froze))
	stored := put(t, others[0], 600)
	harness.Eventually(t, inForceWithin, func() bool { return agree(t, others, stored.Operation) })
	before, err := platformClient(f).Get(t.Context(), "leader/lisbon_1")
	is.NoErr(err)

	frozen.Resume()
	harness.Eventually(t, healWithin, func() bool {
		return agree(t, f.Nodes, stored.Operation) && everyoneTakesWork(t, f.Nodes)
	})
	after, err := platformClient(f).Get(t.Context(), "leader/lisbon_1")
	is.NoErr(err)
	is.Equal(after.Revision, before.Revision) // the one that was frozen took nothing back
	is.Equal(settledLeader(t, zoneNodes), successor)
}

func TestZoneCutOff(t *testing.T) {
	is := is.New(t)
	f := harness.StartKilled(t, fleet.Config{Deployment: fleet.Chain()})
	inside, outside := inZone(f, "lisbon_1")
	led := settledLeader(t, inside)
	restarted := without(inside, led)[0]
	f.Network.SetBoth(names(inside), append(names(outside), fleet.PlatformEndpoint), proxy.Fault{Cut: true})

	stored := put(t, outside[0], 700)
	harness.Eventually(t, inForceWithin, func() bool { return agree(t, outside, stored.Operation) })
	harness.Eventually(t, leadWithin, func() bool { return !takesWork(t, outside, inside[0]) })
	is.True(serves(t, outside))
	earlier := operation(t, inside[0])
	is.True(earlier != stored.Operation)

	// A node that starts again inside knows nobody and cannot ask the platform.
	restarted.Kill()
	harness.Eventually(t, leadWithin, func() bool { return !takesWork(t, []*fleet.Node{led}, restarted) })
	is.NoErr(restarted.Start())
	harness.Eventually(t, healWithin, func() bool { return operation(t, restarted) == earlier })
	is.Equal(operation(t, led), earlier)

	f.Network.Clear()
	harness.Eventually(t, healWithin, func() bool {
		return agree(t, f.Nodes, stored.Operation) && everyoneTakesWork(t, f.Nodes)
	})
	harness.Eventually(t, healWithin, func() bool { return leader(t, inside) != nil })
}

func TestOneWayCut(t *testing.T) {
	f := harness.StartKilled(t, fleet.Config{Deployment: fleet.Chain()})
	inside, outside := inZone(f, "lisbon_3")
	led := settledLeader(t, inside)
	// What the leader sends to the platform arrives; the answers do not.
	f.Network.Set(fleet.PlatformEndpoint, led.Name, proxy.Fault{Cut: true})
	harness.Eventually(t, leadWithin, func() bool {
		now := leader(t, inside)
		return now != nil && now != led
	})
	// What the other zones send to this one does not arrive; what it sends them does.
	for _, o := range outside {
		for _, i := range inside {
			f.Network.Set(o.Name, i.Name, proxy.Fault{Cut: true})
		}
	}
	stored := put(t, outside[0], 800)
	harness.Eventually(t, inForceWithin, func() bool { return agree(t, f.Nodes, stored.Operation) }) // by the platform
	f.Network.Clear()
	harness.Eventually(t, healWithin, func() bool { return everyoneTakesWork(t, f.Nodes) && leader(t, inside) != nil })

	// The two nodes of the zone can't reach each other; the one that follows gets changes from other zones.
	f.Network.SetBoth(names(inside[:1]), names(inside[1:]), proxy.Fault{Cut: true})
	harness.Eventually(t, leadWithin, func() bool { return followsNobody(t, inside) })
	stored = put(t, outside[0], 801)
	harness.Eventually(t, inForceWithin, func() bool { return agree(t, f.Nodes, stored.Operation) })
	f.Network.Clear()
	harness.Eventually(t, healWithin, func() bool { return everyoneTakesWork(t, f.Nodes) })
}

// followsNobody reports whether one of the nodes neither leads nor follows.
func followsNobody(t *testing.T, nodes []*fleet.Node) bool {
	return slices.ContainsFunc(nodes, func(n *fleet.Node) bool {
		d, ok := dump(t, n)
		return ok && d.Control.Role == membership.Following && d.Control.Followed == ""
	})
}

func TestNewNodeJoinsThroughASeed(t *testing.T) {
	f := harness.StartKilled(t, fleet.Config{Deployment: fleet.Chain()})
	f.Store.SetFaults(store.Faults{Down: true})
	joining, seed := f.Nodes[0], f.Nodes[1]
	edit := operation(t, joining)
	joining.Kill()
	listener, err := net.Listen("tcp", joining.IP+":0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	joining.AppendFlags("-peer.seeds", seed.Peer, "-node.name", "newcomer", "-peer.address", address, "-peer.advertised", address)
	if err := joining.Start(); err != nil {
		t.Fatal(err)
	}
	harness.Eventually(t, healWithin, func() bool { return operation(t, joining) == edit })
	harness.Eventually(t, healWithin, func() bool {
		d, ok := dump(t, f.Nodes[5])
		_, known := d.Board.Members.ByNode["newcomer"]
		return ok && known
	})
}

// countFor is how long calls are counted.
const countFor = 10 * time.Second

// TestPlatformCallsGrowWithZones compares the calls of two settled fleets in three zones.
func TestPlatformCallsGrowWithZones(t *testing.T) {
	is := is.New(t)
	small, large := startAccess(t, 3), startAccess(t, 5)
	time.Sleep(time.Second) // the first heartbeats to the other zones
	before := [2]store.Counts{small.Store.Counts(), large.Store.Counts()}
	time.Sleep(countFor)
	few := calls(small.Store.Counts()) - calls(before[0])
	many := calls(large.Store.Counts()) - calls(before[1])
	t.Logf("calls in %s: %d with 3 nodes, %d with 5 nodes", countFor, few, many)
	is.True(few > 0)
	is.True(many < few*3/2) // calls of each node would make it five thirds
}

func startAccess(t *testing.T, instances int) *fleet.Fleet {
	deployment := fleet.Chain()
	deployment.Services = deployment.Services[1:]
	deployment.Services[0].Instances = instances
	return harness.StartKilled(t, fleet.Config{Deployment: deployment})
}

func calls(c store.Counts) uint64 {
	return c.Reads + c.Writes
}
