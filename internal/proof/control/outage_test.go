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

// servesAll sends requests through the nodes and reports whether all of them ran.
func servesAll(t *testing.T, nodes []*fleet.Node) bool {
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

// Without the platform, nodes must keep serving requests and spreading drains and crashes of members, and refuse documents at
// once. Leases expire during the outage, so state that depends on them would be lost.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: fleet.Chain()})
	first, _ := splitByZone(f, "lisbon_1")
	second, _ := splitByZone(f, "lisbon_2")
	f.Store.SetFaults(store.Faults{Down: true})

	start := time.Now()
	_, err := client(f.Nodes[0]).Put(t.Context(), service, document(500), "", "")
	is.Equal(codeOf(err), operator.CodePlatformUnreachable)
	is.True(time.Since(start) < 2*time.Second) // refused at once, not after a timeout

	// The leases have expired; the drain of a member must still reach every zone.
	time.Sleep(zone.DefaultTiming.LeaseTTL + 500*time.Millisecond)
	is.True(servesAll(t, f.Nodes))
	leaving := second[0]
	is.NoErr(client(leaving).Drain(t.Context()))
	drained := time.Now()
	harness.Eventually(t, routingTimeout, func() bool { return !anyRoutesTo(t, without(f.Nodes, leaving), leaving) })
	t.Logf("no node routed to the drained member after %s, without the platform", time.Since(drained))

	dead := first[0]
	dead.Kill()
	alive := without(without(f.Nodes, leaving), dead)
	harness.Eventually(t, electionTimeout, func() bool { return !anyRoutesTo(t, alive, dead) })
	is.True(servesAll(t, alive))

	f.Store.SetFaults(store.Faults{})
	harness.Eventually(t, healTimeout, func() bool { return findLeader(t, first[1:]) != nil })
	stored := put(t, alive[0], 501)
	harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, alive, stored.Operation) })
}

// A leader that is frozen past its lease must not overwrite its successor's record when it resumes.
func TestFrozenLeader(t *testing.T) {
	is := is.New(t)
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: fleet.Chain()})
	zoneNodes, _ := splitByZone(f, "lisbon_1")
	frozen := awaitLeader(t, zoneNodes)
	others := without(f.Nodes, frozen)
	frozen.Freeze()
	froze := time.Now()
	successor := awaitLeader(t, without(zoneNodes, frozen))
	t.Logf("another node became leader after %s", time.Since(froze))
	stored := put(t, others[0], 600)
	harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, others, stored.Operation) })
	before, err := platformClient(f).Get(t.Context(), "leader/lisbon_1")
	is.NoErr(err)

	frozen.Resume()
	harness.Eventually(t, healTimeout, func() bool {
		return allUseEdit(t, f.Nodes, stored.Operation) && allRouteToAll(t, f.Nodes)
	})
	after, err := platformClient(f).Get(t.Context(), "leader/lisbon_1")
	is.NoErr(err)
	is.Equal(after.Revision, before.Revision) // the resumed node did not write its old record again
	is.Equal(awaitLeader(t, zoneNodes), successor)
}

// An availability zone that is cut off from the platform and all other zones must go on with the document that it has, also on a
// node that restarts during the partition, and take over the newer document afterwards.
func TestZonePartition(t *testing.T) {
	is := is.New(t)
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: fleet.Chain()})
	inside, outside := splitByZone(f, "lisbon_1")
	oldLeader := awaitLeader(t, inside)
	restarted := without(inside, oldLeader)[0]
	f.Network.SetBoth(nodeNames(inside), append(nodeNames(outside), fleet.PlatformEndpoint), proxy.Fault{Cut: true})

	stored := put(t, outside[0], 700)
	harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, outside, stored.Operation) })
	harness.Eventually(t, electionTimeout, func() bool { return !anyRoutesTo(t, outside, inside[0]) })
	is.True(servesAll(t, outside))
	earlier := operationInForce(t, inside[0])
	is.True(earlier != stored.Operation)

	// A node that restarts inside the zone knows no other node and cannot reach the platform.
	restarted.Kill()
	harness.Eventually(t, electionTimeout, func() bool { return !anyRoutesTo(t, []*fleet.Node{oldLeader}, restarted) })
	is.NoErr(restarted.Start())
	harness.Eventually(t, healTimeout, func() bool { return operationInForce(t, restarted) == earlier })
	is.Equal(operationInForce(t, oldLeader), earlier)

	f.Network.Clear()
	harness.Eventually(t, healTimeout, func() bool {
		return allUseEdit(t, f.Nodes, stored.Operation) && allRouteToAll(t, f.Nodes)
	})
	harness.Eventually(t, healTimeout, func() bool { return findLeader(t, inside) != nil })
}

// Links that fail in one direction only must not leave a zone without a leader or without changes: a leader whose lease
// renewals are not acknowledged must step down, and documents must reach nodes on other paths.
func TestOneWayPartition(t *testing.T) {
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: fleet.Chain()})
	inside, outside := splitByZone(f, "lisbon_3")
	oldLeader := awaitLeader(t, inside)
	// Requests of the leader reach the platform; the responses are lost.
	f.Network.Set(fleet.PlatformEndpoint, oldLeader.Name, proxy.Fault{Cut: true})
	harness.Eventually(t, electionTimeout, func() bool {
		newLeader := findLeader(t, inside)
		return newLeader != nil && newLeader != oldLeader
	})
	// Messages from the other zones to this one are lost; messages in the other direction arrive.
	for _, o := range outside {
		for _, i := range inside {
			f.Network.Set(o.Name, i.Name, proxy.Fault{Cut: true})
		}
	}
	stored := put(t, outside[0], 800)
	harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, f.Nodes, stored.Operation) }) // through the platform
	f.Network.Clear()
	harness.Eventually(t, healTimeout, func() bool { return allRouteToAll(t, f.Nodes) && findLeader(t, inside) != nil })

	// The two nodes of the zone cannot reach each other; the follower gets changes from other zones.
	f.Network.SetBoth(nodeNames(inside[:1]), nodeNames(inside[1:]), proxy.Fault{Cut: true})
	harness.Eventually(t, electionTimeout, func() bool { return anyWithoutLeader(t, inside) })
	stored = put(t, outside[0], 801)
	harness.Eventually(t, inForceTimeout, func() bool { return allUseEdit(t, f.Nodes, stored.Operation) })
	f.Network.Clear()
	harness.Eventually(t, healTimeout, func() bool { return allRouteToAll(t, f.Nodes) })
}

// anyWithoutLeader reports whether any of the nodes is a follower that knows no leader.
func anyWithoutLeader(t *testing.T, nodes []*fleet.Node) bool {
	return slices.ContainsFunc(nodes, func(n *fleet.Node) bool {
		d, ok := dump(t, n)
		return ok && d.Control.Role == membership.Following && d.Control.Followed == ""
	})
}

// A node that starts while the platform is down must get the documents and the members from a seed node.
func TestNewNodeJoinsThroughASeed(t *testing.T) {
	f := harness.StartWithoutDrain(t, fleet.Config{Deployment: fleet.Chain()})
	f.Store.SetFaults(store.Faults{Down: true})
	joining, seed := f.Nodes[0], f.Nodes[1]
	edit := operationInForce(t, joining)
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
	harness.Eventually(t, healTimeout, func() bool { return operationInForce(t, joining) == edit })
	harness.Eventually(t, healTimeout, func() bool {
		d, ok := dump(t, f.Nodes[5])
		_, known := d.Board.Members.ByNode["newcomer"]
		return ok && known
	})
}

// countTime is how long platform calls are counted.
const countTime = 10 * time.Second

// TestPlatformCallsGrowWithZones compares the platform calls of an idle fleet of three nodes and one of five, both in three zones.
// If every node called the platform, the rate would grow with the nodes instead of the zones.
func TestPlatformCallsGrowWithZones(t *testing.T) {
	is := is.New(t)
	small, large := startAccess(t, 3), startAccess(t, 5)
	time.Sleep(time.Second) // until the first heartbeats have reached the other zones
	before := [2]store.Counts{small.Store.Counts(), large.Store.Counts()}
	time.Sleep(countTime)
	smallCalls := callCount(small.Store.Counts()) - callCount(before[0])
	largeCalls := callCount(large.Store.Counts()) - callCount(before[1])
	t.Logf("platform calls in %s: %d with 3 nodes, %d with 5 nodes", countTime, smallCalls, largeCalls)
	is.True(smallCalls > 0)
	is.True(largeCalls < smallCalls*3/2) // calls by each node would give a ratio of 5/3
}

func startAccess(t *testing.T, instances int) *fleet.Fleet {
	deployment := fleet.Chain()
	deployment.Services = deployment.Services[1:]
	deployment.Services[0].Instances = instances
	return harness.StartWithoutDrain(t, fleet.Config{Deployment: deployment})
}

func callCount(c store.Counts) uint64 {
	return c.Reads + c.Writes
}
