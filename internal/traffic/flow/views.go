package flow

import (
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// instanceViews are what this node knows of the instances of each service. The members of a service are taken in anew only
// when the board has another list of them.
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

// choice is the node that gets a request.
type choice struct {
	node string
	// spilled says that it is in another availability zone, though there are instances in the own one.
	spilled bool
}

// choose returns the node that gets a request of the rank.
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

// count returns how many instances of the service are in use.
func (v *instanceViews) count(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	w, ok := v.byService[service]
	if !ok {
		return 0
	}
	return w.set.Len()
}

func (v *instanceViews) begin(node string, rank int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i, ok := v.byNode[node]; ok {
		i.Begin(rank)
	}
}

// setUnreachable says whether the node gives no answer.
func (v *instanceViews) setUnreachable(node string, unreachable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i, ok := v.byNode[node]; ok {
		i.Unreachable = unreachable
	}
}

// end takes in the reply to an attempt that began at the start.
func (v *instanceViews) end(node string, start, now time.Time, r *call.Request, reply call.Reply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i, ok := v.byNode[node]
	if !ok {
		return
	}
	elapsed := now.Sub(start)
	i.End(now, routing.Sample{
		Result:  routingResult(&reply, elapsed),
		Latency: elapsed,
		Kind:    r.Kind,
		Rank:    r.Root.Rank,
		Reason:  string(reply.Failure()),
		Load:    routing.Load(reply.Load),

		AllShed: acceptsNoWork(&reply),

		Bytes:                    exchangedBytes(r, &reply),
		DownstreamCrossZoneBytes: reply.FarBytes,
	})
}

// minSilence is the shortest wait without a reply that is held against an instance: the patience of a caller may be
// shorter than any answer takes.
const minSilence = 250 * time.Millisecond

// routingResult returns what a reply says about the instance. Failures further down the chain are not its own.
func routingResult(reply *call.Reply, elapsed time.Duration) routing.Result {
	if reply.Deeper != call.ReasonNone {
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

// acceptsNoWork reports whether the instance has no backend server that takes work.
func acceptsNoWork(reply *call.Reply) bool {
	return reply.Reason == call.ReasonDraining || reply.Reason == call.ReasonNoInstance
}

func (v *instanceViews) setFor(service string, members []membership.Member, now time.Time) *routing.Set {
	w, ok := v.byService[service]
	if !ok {
		w = &serviceView{set: routing.NewSet(v.config)}
		v.byService[service] = w
	}
	if !sameSlice(w.members, members) {
		v.update(w, members, now)
	}
	return w.set
}

// sameSlice reports whether both are one slice, which the board never changes in place.
func sameSlice(a, b []membership.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (v *instanceViews) update(w *serviceView, members []membership.Member, now time.Time) {
	for _, m := range w.members {
		delete(v.byNode, m.Node)
	}
	w.members = members
	known := make([]routing.Member, 0, len(members))
	for _, m := range members {
		known = append(known, routing.Member{Node: m.Node, Zone: m.Zone, Slots: m.Slots, Unconfirmed: m.Unconfirmed})
	}
	w.set.Update(now, known)
	for _, m := range members {
		if i := w.set.Find(m.Node); i != nil {
			v.byNode[m.Node] = i
		}
	}
}
