package routing

import (
	"slices"
	"time"
)

// Set is the state that one sender keeps about the instances of one service.
type Set struct {
	config    Config
	instances []*Instance
	byNode    map[string]*Instance
	populated bool
	// sizes averages the bytes of requests with their replies, by kind.
	sizes kindAverages
	// tiers holds the tier of each instance for the choice being made.
	tiers []tier
}

// NewSet returns an empty set.
func NewSet(config Config) *Set {
	return &Set{config: config, byNode: map[string]*Instance{}}
}

// Update replaces the members. The state of members that are no longer in the list, or no longer in the subset, is
// dropped.
func (s *Set) Update(now time.Time, members []Member) {
	chosen := subset(s.config, members)
	byNode := make(map[string]*Instance, len(chosen))
	instances := make([]*Instance, 0, len(chosen))
	for _, m := range chosen {
		i, ok := s.byNode[m.Node]
		if !ok {
			i = s.newInstance(now, m)
		}
		i.Member = m
		byNode[m.Node] = i
		instances = append(instances, i)
	}
	s.instances, s.byNode = instances, byNode
	s.tiers = make([]tier, len(instances))
	s.populated = s.populated || len(instances) > 0
}

// newInstance returns a new instance. It starts slowly, except if the set had no instances before.
func (s *Set) newInstance(now time.Time, m Member) *Instance {
	i := &Instance{Member: m, config: &s.config, sizes: &s.sizes, crossZoneFraction: kindAverages{startAtZero: true}}
	if s.populated {
		i.joinedAt = now
	}
	return i
}

// Len returns the number of instances in the subset.
func (s *Set) Len() int {
	return len(s.instances)
}

// Find returns the instance of the node, or nil if the subset has none.
func (s *Set) Find(node string) *Instance {
	return s.byNode[node]
}

// tier ranks instances by how suitable they are for a request. Choose widens its choice tier by tier until it finds
// an instance.
type tier int

const (
	// local is for instances in the sender's zone that accept the request and have a low error rate.
	local tier = iota
	// localKindLimited is for instances in the sender's zone that recently refused the request's kind because it had
	// reached its in-flight limit. They come before other zones because they can accept a request again as soon as
	// one of the kind has ended.
	localKindLimited
	// healthy is for all other instances that are neither ejected nor shedding.
	healthy
	// reachable is for instances that answer but may be shedding the request's rank.
	reachable
	// unavailable is for unreachable and ejected instances. They are used if there are no others, so that at least one
	// instance is tried.
	unavailable
	tierCount
)

// Choose picks an instance for the request. It reports false if all instances were already tried, or may not be asked
// again by a request that was refused (see kindLimitedTier).
func (s *Set) Choose(now time.Time, random Source, r Request) (*Instance, bool) {
	summary := s.classifyInstances(now, r)
	for t := local; t < tierCount; t++ {
		chosen := s.pick(now, random, r, func(_ *Instance, instanceTier tier) bool { return instanceTier <= t })
		if chosen == nil {
			continue
		}
		if t == local {
			chosen = s.considerOtherZones(now, random, r, chosen, summary)
		}
		return chosen, true
	}
	return nil, false
}

// considerOtherZones returns an instance of another availability zone if it is clearly better than own, and own
// otherwise.
func (s *Set) considerOtherZones(now time.Time, random Source, r Request, own *Instance, summary zoneSummary) *Instance {
	if summary.healthyElsewhere == 0 {
		return own
	}
	if other := s.pickFewerCrossZoneBytes(now, random, r, own); other != nil {
		return other
	}
	switch {
	case summary.isFull(s.config.SpillUtilization):
		return s.spill(now, random, r, own)
	case s.isSlow(r, own):
		return s.pickFaster(now, random, r, own)
	}
	return own
}

// spill returns an instance of another availability zone if it is cheaper than own including the cross-zone penalty,
// and own otherwise.
func (s *Set) spill(now time.Time, random Source, r Request, own *Instance) *Instance {
	crossZone := s.crossZonePenalty(now, r)
	other := s.pickOtherZone(now, random, r, func(i *Instance) bool { return i.isCheaper(now, r, own, crossZone) })
	if other == nil {
		return own
	}
	return other
}

// crossZonePenalty returns the penalty on the expected time at an instance of another availability zone.
func (s *Set) crossZonePenalty(now time.Time, r Request) penalty {
	factor := s.config.CrossZoneFactor
	if r.IsCall {
		factor = s.config.CallCrossZoneFactor
	}
	const kilobyte = 1000 // bytes
	size := s.sizes.get(now, r.Kind) / kilobyte
	return penalty{factor: factor, extra: time.Duration(size * float64(s.config.CrossZoneKilobyte))}
}

// isSlow reports whether the average latency of the instance is so high that many replies miss the request's target.
func (s *Set) isSlow(r Request, i *Instance) bool {
	return !r.IsCall && float64(i.averageLatency(r)) > s.config.TargetFraction*float64(r.Target) && r.Target > 0
}

// pickFaster returns an instance of another availability zone whose average latency is lower including the cross-zone
// penalty, and own otherwise. Instances without a known latency are tried for a small fraction of the requests.
func (s *Set) pickFaster(now time.Time, random Source, r Request, own *Instance) *Instance {
	crossZone := s.crossZonePenalty(now, r)
	other := s.pickOtherZone(now, random, r, func(i *Instance) bool {
		average := i.averageLatency(r)
		if average == 0 {
			return random.Float64() < exploreFraction
		}
		return crossZone.apply(float64(average)) < float64(own.averageLatency(r))
	})
	if other == nil {
		return own
	}
	return other
}

// exploreFraction is the probability with which an instance of another availability zone without a known latency is
// considered for a request whose instance in the sender's zone is slow.
const exploreFraction = 0.05

// zoneSummary sums up the load of the sender's zone and the instances available elsewhere.
type zoneSummary struct {
	// healthyElsewhere is the number of healthy instances in other availability zones.
	healthyElsewhere int
	localAhead       float64
	localCapacity    float64
}

func (s *Set) classifyInstances(now time.Time, r Request) zoneSummary {
	var summary zoneSummary
	for index, i := range s.instances {
		instanceTier := s.tierOf(now, r, i)
		s.tiers[index] = instanceTier
		switch {
		case instanceTier == local:
			summary.localAhead += i.requestsAhead(r.Rank)
			summary.localCapacity += i.capacity(now)
		case instanceTier == healthy && i.Member.Zone != s.config.Zone:
			summary.healthyElsewhere++
		}
	}
	return summary
}

// tierOf returns the best tier that the instance belongs to; tierCount means that the request is not sent to it.
func (s *Set) tierOf(now time.Time, r Request, i *Instance) tier {
	switch {
	case r.hasTried(i.Member.Node):
		return tierCount
	case i.Unreachable || i.isEjected(now):
		return unavailable
	case i.sheds(now, r.Rank):
		return reachable
	case i.isKindLimited(now, r):
		return s.kindLimitedTier(r, i)
	case i.Member.Zone != s.config.Zone || i.isFailing(now):
		return healthy
	}
	return local
}

// kindLimitedTier returns the tier of an instance that recently refused the request's kind because it had reached its
// in-flight limit. A request that was already refused somewhere is not sent to such an instance in another zone.
func (s *Set) kindLimitedTier(r Request, i *Instance) tier {
	switch {
	case i.Member.Zone == s.config.Zone:
		return localKindLimited
	case len(r.Tried) > 0:
		return tierCount
	}
	return reachable
}

// HasLocal reports whether an instance in the sender's zone accepts requests.
func (s *Set) HasLocal(now time.Time) bool {
	return slices.ContainsFunc(s.instances, func(i *Instance) bool {
		return i.Member.Zone == s.config.Zone && i.acceptsRequests(now)
	})
}

// isFull reports whether the utilization of the sender's zone is so high that other zones are considered.
func (z *zoneSummary) isFull(spillUtilization float64) bool {
	return z.localAhead+1 > spillUtilization*z.localCapacity
}

// pick takes two random instances that fit and returns the cheaper one for the request, or nil if none fits.
func (s *Set) pick(now time.Time, random Source, r Request, fits func(i *Instance, t tier) bool) *Instance {
	var picked [2]*Instance
	found := 0
	for index, i := range s.instances {
		if !fits(i, s.tiers[index]) {
			continue
		}
		found++
		position := found - 1
		if found > len(picked) {
			position = random.IntN(found)
		}
		if position < len(picked) {
			picked[position] = i
		}
	}
	a, b := picked[0], picked[1]
	if b != nil && (b.isCheaper(now, r, a, noPenalty) || !a.isCheaper(now, r, b, noPenalty) && random.IntN(len(picked)) == 0) {
		return b
	}
	return a
}

// pickOtherZone picks among the fitting healthy instances of other availability zones.
func (s *Set) pickOtherZone(now time.Time, random Source, r Request, fits func(*Instance) bool) *Instance {
	return s.pick(now, random, r, func(i *Instance, instanceTier tier) bool {
		return instanceTier <= healthy && i.Member.Zone != s.config.Zone && fits(i)
	})
}
