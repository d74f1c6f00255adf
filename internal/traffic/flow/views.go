package flow

import (
	"sync"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/routing"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// views are what this node knows of the instances of each service. The members of a service are taken in anew only
// when the board has another list of them.
type views struct {
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

func newViews(config routing.Config) *views {
	return &views{config: config, byService: map[string]*serviceView{}, byNode: map[string]*routing.Instance{}}
}

// choice is the node that gets a request.
type choice struct {
	node string
	// spilled says that it is in another availability zone, though there are instances in the own one.
	spilled bool
}

// choose returns the node that gets a request of the rank.
func (v *views) choose(service string, members []membership.Member, now time.Time, r routing.Request) (choice, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	set := v.set(service, members, now)
	instance, ok := set.Choose(now, globalRandom{}, r)
	if !ok {
		return choice{}, false
	}
	return choice{
		node:    instance.Member.Node,
		spilled: instance.Member.Zone != v.config.Zone && set.HasNear(now),
	}, true
}

// count returns how many instances of the service are in use.
func (v *views) count(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	w, ok := v.byService[service]
	if !ok {
		return 0
	}
	return w.set.Len()
}

func (v *views) begin(node string, rank int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i, ok := v.byNode[node]; ok {
		i.Begin(rank)
	}
}

// setLost says whether the node gives no answer.
func (v *views) setLost(node string, lost bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if i, ok := v.byNode[node]; ok {
		i.Lost = lost
	}
}

// end takes in the reply to an attempt that began at the start.
func (v *views) end(node string, start, now time.Time, r *call.Request, reply call.Reply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i, ok := v.byNode[node]
	if !ok {
		return
	}
	took := now.Sub(start)
	i.End(now, routing.Sample{
		Result: shown(&reply, took),
		Took:   took,
		Kind:   r.Kind,
		Rank:   r.Root.Rank,
		Reason: string(reply.Failure()),
		Load:   routing.Load(reply.Load),

		AllShed: takesNothing(&reply),

		Bytes:         exchangedBytes(r, &reply),
		FarBytesBelow: reply.FarBytes,
	})
}

// leastSilence is the shortest wait without a reply that is held against an instance: the patience of a caller may be
// shorter than any answer takes.
const leastSilence = 250 * time.Millisecond

// shown returns what a reply says about the instance. Failures further down the chain are not its own.
func shown(reply *call.Reply, took time.Duration) routing.Result {
	if reply.Deeper != call.ReasonNone {
		return routing.Neutral
	}
	switch reply.Failure() {
	case call.ReasonNone:
		return routing.Good
	case call.ReasonCallsWait:
		return routing.Bounded
	case call.ReasonOverload, call.ReasonQueueTimeout, call.ReasonDraining, call.ReasonNoInstance, call.ReasonBackendShed:
		return routing.Shed
	case call.ReasonPeerSilent:
		if took < leastSilence {
			return routing.Neutral
		}
		return routing.Failed
	case call.ReasonBackendFailed, call.ReasonPeerUnreachable, call.ReasonCorrupt:
		return routing.Failed
	}
	return routing.Neutral
}

// takesNothing reports whether the instance has no backend server that takes work.
func takesNothing(reply *call.Reply) bool {
	return reply.Reason == call.ReasonDraining || reply.Reason == call.ReasonNoInstance
}

func (v *views) set(service string, members []membership.Member, now time.Time) *routing.Set {
	w, ok := v.byService[service]
	if !ok {
		w = &serviceView{set: routing.NewSet(v.config)}
		v.byService[service] = w
	}
	if !sameList(w.members, members) {
		v.renew(w, members, now)
	}
	return w.set
}

// sameList reports whether both are one slice, which the board never changes in place.
func sameList(a, b []membership.Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (v *views) renew(w *serviceView, members []membership.Member, now time.Time) {
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
