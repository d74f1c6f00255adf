package flow

import (
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// instanceViews holds what this node knows about the instances of each service. The instances of a service are updated
// only when the board has a new list of its members.
type instanceViews struct {
	config routing.Config

	mu        sync.Mutex
	byService map[string]*serviceView
	// byNode holds the instances of all services.
	byNode map[string]*routing.Instance
}

type serviceView struct {
	set     *routing.Set
	members []membership.Member
}

func newInstanceViews(config routing.Config) *instanceViews {
	return &instanceViews{config: config, byService: map[string]*serviceView{}, byNode: map[string]*routing.Instance{}}
}

// choice is the node chosen for a request.
type choice struct {
	node string
	// spilled says that the node is in another availability zone although the local zone has instances.
	spilled bool
}

// choose returns the node that the request is sent to.
func (v *instanceViews) choose(service string, members []membership.Member, now time.Time, r routing.Request) (choice, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	set := v.setFor(service, members, now)
	instance, ok := set.Choose(now, globalRandom{}, r)
	if !ok {
		return choice{}, false
	}
	return choice{
		node:    instance.Member.Node,
		spilled: instance.Member.Zone != v.config.Zone && set.HasLocal(now),
	}, true
}

// count returns the number of instances of the service in use.
func (v *instanceViews) count(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	view, ok := v.byService[service]
	if !ok {
		return 0
	}
	return view.set.Len()
}

func (v *instanceViews) begin(node string, rank int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if instance, ok := v.byNode[node]; ok {
		instance.Begin(rank)
	}
}

// setUnreachable sets whether the node is unreachable.
func (v *instanceViews) setUnreachable(node string, unreachable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if instance, ok := v.byNode[node]; ok {
		instance.Unreachable = unreachable
	}
}

// end records the reply to an attempt that began at start.
func (v *instanceViews) end(node string, start, now time.Time, r *call.Request, reply call.Reply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	instance, ok := v.byNode[node]
	if !ok {
		return
	}
	elapsed := now.Sub(start)
	instance.End(now, routing.Sample{
		Result:  routingResult(&reply, elapsed),
		Latency: elapsed,
		Kind:    r.Kind,
		Rank:    r.Root.Rank,
		Reason:  string(reply.Failure()),
		Load:    routing.Load(reply.Load),

		AllShed: acceptsNoWork(&reply),

		Bytes:                    exchangedBytes(r, &reply),
		DownstreamCrossZoneBytes: reply.CrossZoneBytes,
	})
}

// minSilence is the shortest time without a reply that counts as a failure of the instance. The deadline of a caller may
// be shorter than any reply takes.
const minSilence = 250 * time.Millisecond

// routingResult returns what a reply shows about the instance. Failures further down the call chain are not attributed to
// it.
func routingResult(reply *call.Reply, elapsed time.Duration) routing.Result {
	if reply.DownstreamFailure != call.ReasonNone {
		return routing.Neutral
	}
	switch reply.Failure() {
	case call.ReasonNone:
		return routing.Good
	case call.ReasonCallsWait:
		return routing.KindLimited
	case call.ReasonOverload, call.ReasonQueueTimeout, call.ReasonDraining, call.ReasonNoInstance, call.ReasonBackendShed:
		return routing.Shed
	case call.ReasonPeerSilent:
		if elapsed < minSilence {
			return routing.Neutral
		}
		return routing.Failed
	case call.ReasonBackendFailed, call.ReasonPeerUnreachable, call.ReasonCorrupt:
		return routing.Failed
	}
	return routing.Neutral
}

// acceptsNoWork reports whether the reply shows that the instance has no backend server that accepts requests.
func acceptsNoWork(reply *call.Reply) bool {
	return reply.Reason == call.ReasonDraining || reply.Reason == call.ReasonNoInstance
}

func (v *instanceViews) setFor(service string, members []membership.Member, now time.Time) *routing.Set {
	view, ok := v.byService[service]
	if !ok {
		view = &serviceView{set: routing.NewSet(v.config)}
		v.byService[service] = view
	}
	if !sameSlice(view.members, members) {
		v.update(view, members, now)
	}
	return view.set
}

// sameSlice reports whether both are the same slice. The board never changes a list of members in place.
func sameSlice(a, b []membership.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (v *instanceViews) update(view *serviceView, members []membership.Member, now time.Time) {
	for _, m := range view.members {
		delete(v.byNode, m.Node)
	}
	view.members = members
	routingMembers := make([]routing.Member, 0, len(members))
	for _, m := range members {
		routingMembers = append(routingMembers, routing.Member{Node: m.Node, Zone: m.Zone, Slots: m.Slots, Unconfirmed: m.Unconfirmed})
	}
	view.set.Update(now, routingMembers)
	for _, m := range members {
		if instance := view.set.Find(m.Node); instance != nil {
			v.byNode[m.Node] = instance
		}
	}
}
