package routing

import (
	"slices"
	"time"
)

// Set is what one sender knows of the instances of one service.
type Set struct {
	config    Config
	instances []*Instance
	byNode    map[string]*Instance
	populated bool
	// sizes are those of requests with their answers.
	sizes kindAverages
	// tiers holds the tier of each instance while one choice is made.
	tiers []tier
}

// NewSet returns a set without instances.
func NewSet(config Config) *Set {
	return &Set{config: config, byNode: map[string]*Instance{}}
}

// Update takes in the members. What is known of those that left is dropped.
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

// newInstance returns a new instance, which starts slowly unless all others are new too.
func (s *Set) newInstance(now time.Time, m Member) *Instance {
	i := &Instance{Member: m, config: &s.config, sizes: &s.sizes, crossZoneFraction: kindAverages{startAtZero: true}}
	if s.populated {
		i.joinedAt = now
	}
	return i
}

// Len returns the number of instances in use.
func (s *Set) Len() int {
	return len(s.instances)
}

// Find returns the instance of the node, or nil.
func (s *Set) Find(node string) *Instance {
	return s.byNode[node]
}

// tier narrows a choice: the first tier that holds an instance is used.
type tier int

const (
	// local are the healthy instances of the own zone that seldom fail.
	local tier = iota
	// localKindLimited are those of the own zone that lately had no room for the kind. They may have again: a place is free as soon as
	// one request has ended.
	localKindLimited
	// healthy are all that are neither ejected nor shedding.
	healthy
	// reachable may be shedding.
	reachable
	// untried are all: where every one is ejected, none is.
	untried
	tierCount
)

// Choose picks an instance. It reports false only where there is none that was not tried.
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

// considerOtherZones returns an instance of another availability zone where it is clearly better than the one of the own, and that one else.
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

// spill returns an instance of another availability zone where it is clearly cheaper than the one of the own, and that
// one else.
func (s *Set) spill(now time.Time, random Source, r Request, own *Instance) *Instance {
	crossZone := s.crossZonePenalty(now, r)
	other := s.pickOtherZone(now, random, r, func(i *Instance) bool { return i.isCheaper(now, r, own, crossZone) })
	if other == nil {
		return own
	}
	return other
}

// crossZonePenalty returns what makes the time at another zone's instance count for more.
func (s *Set) crossZonePenalty(now time.Time, r Request) penalty {
	factor := s.config.CrossZoneFactor
	if r.IsCall {
		factor = s.config.CallCrossZoneFactor
	}
	const kilobyte = 1000 // bytes
	size := s.sizes.get(now, r.Kind) / kilobyte
	return penalty{factor: factor, extra: time.Duration(size * float64(s.config.CrossZoneKilobyte))}
}

// isSlow reports whether the instance takes so long on average that many answers miss the request's target.
func (s *Set) isSlow(r Request, i *Instance) bool {
	return !r.IsCall && float64(i.averageLatency(r)) > s.config.TargetFraction*float64(r.Target) && r.Target > 0
}

// pickFaster returns an instance of another availability zone that takes clearly less on average, and the one of the own
// zone else. Now and then one is tried of which nothing is known.
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

// exploreFraction is the part of such requests that goes to an instance of which nothing is known.
const exploreFraction = 0.05

// zoneSummary sums up one look at the instances.
type zoneSummary struct {
	// healthyElsewhere counts the healthy instances of other availability zones.
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

// tierOf returns the narrowest tier that holds the instance.
func (s *Set) tierOf(now time.Time, r Request, i *Instance) tier {
	switch {
	case r.hasTried(i.Member.Node):
		return tierCount
	case i.Unreachable || i.isEjected(now):
		return untried
	case i.sheds(now, r.Rank):
		return reachable
	case i.isKindLimited(now, r):
		return s.kindLimitedTier(r, i)
	case i.Member.Zone != s.config.Zone || i.isFailing(now):
		return healthy
	}
	return local
}

// kindLimitedTier returns the tier of an instance that lately had no room for the kind. One of another zone isn't asked again by a
// request that was refused already.
func (s *Set) kindLimitedTier(r Request, i *Instance) tier {
	switch {
	case i.Member.Zone == s.config.Zone:
		return localKindLimited
	case len(r.Tried) > 0:
		return tierCount
	}
	return reachable
}

// HasLocal reports whether an instance of the own zone takes work.
func (s *Set) HasLocal(now time.Time) bool {
	return slices.ContainsFunc(s.instances, func(i *Instance) bool {
		return i.Member.Zone == s.config.Zone && i.acceptsRequests(now)
	})
}

// isFull reports whether the own zone is used so far that others are worth a look.
func (z *zoneSummary) isFull(spillFrom float64) bool {
	return z.localAhead+1 > spillFrom*z.localCapacity
}

// pick takes two different ones of the instances that fit at random and returns the cheaper for the request, or nil where none fits.
func (s *Set) pick(now time.Time, random Source, r Request, fits func(i *Instance, own tier) bool) *Instance {
	var picked [2]*Instance
	found := 0
	for index, i := range s.instances {
		if !fits(i, s.tiers[index]) {
			continue
		}
		found++
		place := found - 1
		if found > len(picked) {
			place = random.IntN(found)
		}
		if place < len(picked) {
			picked[place] = i
		}
	}
	a, b := picked[0], picked[1]
	if b != nil && (b.isCheaper(now, r, a, noPenalty) || !a.isCheaper(now, r, b, noPenalty) && random.IntN(len(picked)) == 0) {
		return b
	}
	return a
}

// pickOtherZone is pick among the healthy instances of other availability zones.
func (s *Set) pickOtherZone(now time.Time, random Source, r Request, fits func(*Instance) bool) *Instance {
	return s.pick(now, random, r, func(i *Instance, instanceTier tier) bool {
		return instanceTier <= healthy && i.Member.Zone != s.config.Zone && fits(i)
	})
}
