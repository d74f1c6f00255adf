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
	started   bool
	// sizes are those of requests with their answers.
	sizes kindMeans
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
			i = s.join(now, m)
		}
		i.Member = m
		byNode[m.Node] = i
		instances = append(instances, i)
	}
	s.instances, s.byNode = instances, byNode
	s.tiers = make([]tier, len(instances))
	s.started = s.started || len(instances) > 0
}

// join returns a new instance, which starts slowly unless all others are new too.
func (s *Set) join(now time.Time, m Member) *Instance {
	i := &Instance{Member: m, config: &s.config, sizes: &s.sizes, farShare: kindMeans{cautious: true}}
	if s.started {
		i.joined = now
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
	// near are the healthy instances of the own zone that seldom fail.
	near tier = iota
	// nearBounded are those of the own zone that lately had no room for the kind. They may have again: a place is free as soon as
	// one request has ended.
	nearBounded
	// healthy are all that are neither ejected nor shedding.
	healthy
	// alive may be shedding.
	alive
	// untried are all: where every one is ejected, none is.
	untried
	tiers
)

// Choose picks an instance. It reports false only where there is none that was not tried.
func (s *Set) Choose(now time.Time, random Source, r Request) (*Instance, bool) {
	c := s.survey(now, r)
	for t := near; t < tiers; t++ {
		chosen := s.pick(now, random, r, func(_ *Instance, own tier) bool { return own <= t })
		if chosen == nil {
			continue
		}
		if t == near {
			chosen = s.orElsewhere(now, random, r, chosen, c)
		}
		return chosen, true
	}
	return nil, false
}

// orElsewhere returns an instance of another availability zone where it is clearly better than the one of the own, and that one else.
func (s *Set) orElsewhere(now time.Time, random Source, r Request, own *Instance, c survey) *Instance {
	if c.elsewhere == 0 {
		return own
	}
	if other := s.crossesLess(now, random, r, own); other != nil {
		return other
	}
	switch {
	case c.isFull(s.config.SpillFrom):
		return s.spill(now, random, r, own)
	case s.isSlow(r, own):
		return s.quicker(now, random, r, own)
	}
	return own
}

// spill returns an instance of another availability zone where it is clearly cheaper than the one of the own, and that
// one else.
func (s *Set) spill(now time.Time, random Source, r Request, own *Instance) *Instance {
	far := s.farMarkup(now, r)
	other := s.pickElsewhere(now, random, r, func(i *Instance) bool { return i.isCheaper(now, r, own, far) })
	if other == nil {
		return own
	}
	return other
}

// farMarkup returns what makes the time at another zone's instance count for more.
func (s *Set) farMarkup(now time.Time, r Request) markup {
	factor := s.config.FarFactor
	if r.IsCall {
		factor = s.config.CallFarFactor
	}
	const kilobyte = 1000 // bytes
	size := s.sizes.of(now, r.Kind) / kilobyte
	return markup{factor: factor, extra: time.Duration(size * float64(s.config.FarKilobyte))}
}

// isSlow reports whether the instance takes so long on average that many answers miss the request's target.
func (s *Set) isSlow(r Request, i *Instance) bool {
	return !r.IsCall && float64(i.mean(r)) > s.config.TargetPart*float64(r.Target) && r.Target > 0
}

// quicker returns an instance of another availability zone that takes clearly less on average, and the one of the own
// zone else. Now and then one is tried of which nothing is known.
func (s *Set) quicker(now time.Time, random Source, r Request, own *Instance) *Instance {
	far := s.farMarkup(now, r)
	other := s.pickElsewhere(now, random, r, func(i *Instance) bool {
		mean := i.mean(r)
		if mean == 0 {
			return random.Float64() < exploredPart
		}
		return far.of(float64(mean)) < float64(own.mean(r))
	})
	if other == nil {
		return own
	}
	return other
}

// exploredPart is the part of such requests that goes to an instance of which nothing is known.
const exploredPart = 0.05

// survey sums up one look at the instances.
type survey struct {
	// elsewhere counts the healthy instances of other availability zones.
	elsewhere    int
	nearAhead    float64
	nearCapacity float64
}

func (s *Set) survey(now time.Time, r Request) survey {
	var c survey
	for number, i := range s.instances {
		own := s.tierOf(now, r, i)
		s.tiers[number] = own
		switch {
		case own == near:
			c.nearAhead += i.ahead(r.Rank)
			c.nearCapacity += i.capacity(now)
		case own == healthy && i.Member.Zone != s.config.Zone:
			c.elsewhere++
		}
	}
	return c
}

// tierOf returns the narrowest tier that holds the instance.
func (s *Set) tierOf(now time.Time, r Request, i *Instance) tier {
	switch {
	case r.hasTried(i.Member.Node):
		return tiers
	case i.Lost || i.isEjected(now):
		return untried
	case i.sheds(now, r.Rank):
		return alive
	case i.isBounded(now, r):
		return s.boundedTier(r, i)
	case i.Member.Zone != s.config.Zone || i.isFailing(now):
		return healthy
	}
	return near
}

// boundedTier returns the tier of an instance that lately had no room for the kind. One of another zone isn't asked again by a
// request that was refused already.
func (s *Set) boundedTier(r Request, i *Instance) tier {
	switch {
	case i.Member.Zone == s.config.Zone:
		return nearBounded
	case len(r.Tried) > 0:
		return tiers
	}
	return alive
}

// HasNear reports whether an instance of the own zone takes work.
func (s *Set) HasNear(now time.Time) bool {
	return slices.ContainsFunc(s.instances, func(i *Instance) bool {
		return i.Member.Zone == s.config.Zone && i.takesWork(now)
	})
}

// isFull reports whether the own zone is used so far that others are worth a look.
func (c *survey) isFull(spillFrom float64) bool {
	return c.nearAhead+1 > spillFrom*c.nearCapacity
}

// pick takes two different ones of the instances that fit at random and returns the cheaper for the request, or nil where none fits.
func (s *Set) pick(now time.Time, random Source, r Request, fits func(i *Instance, own tier) bool) *Instance {
	var picked [2]*Instance
	found := 0
	for number, i := range s.instances {
		if !fits(i, s.tiers[number]) {
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
	if b != nil && (b.isCheaper(now, r, a, noMarkup) || !a.isCheaper(now, r, b, noMarkup) && random.IntN(len(picked)) == 0) {
		return b
	}
	return a
}

// pickElsewhere is pick among the healthy instances of other availability zones.
func (s *Set) pickElsewhere(now time.Time, random Source, r Request, fits func(*Instance) bool) *Instance {
	return s.pick(now, random, r, func(i *Instance, own tier) bool {
		return own <= healthy && i.Member.Zone != s.config.Zone && fits(i)
	})
}
