package routing

import "time"

// Set is what one sender knows of the instances of one service.
type Set struct {
	config    Config
	instances []*Instance
	byNode    map[string]*Instance
	started   bool
	// sizes are those of requests with their answers.
	sizes meanBytes
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
	i := &Instance{Member: m, config: &s.config, sizes: &s.sizes}
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
		if c.counts[t] == 0 {
			continue
		}
		chosen := s.pick(now, random, r, t, c.counts[t])
		if t != near {
			return chosen, true
		}
		if other := s.crossesLess(now, random, r, chosen, &c); other != nil {
			return other, true
		}
		switch {
		case c.isFull(s.config.SpillFrom):
			return s.spill(now, random, r, chosen, &c), true
		case s.isSlow(r, chosen):
			return s.quicker(now, random, r, chosen, &c), true
		}
		return chosen, true
	}
	return nil, false
}

// spill returns an instance of another availability zone where it is clearly cheaper than the one of the own, and that
// one else.
func (s *Set) spill(now time.Time, random Source, r Request, own *Instance, c *survey) *Instance {
	if c.counts[healthy] == c.counts[near] {
		return own
	}
	far := s.farMarkup(now, r)
	for range spillTries {
		other := s.pick(now, random, r, healthy, c.counts[healthy])
		if other.Member.Zone != s.config.Zone && other.isCheaper(now, r, own, far) {
			return other
		}
	}
	return own
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
func (s *Set) quicker(now time.Time, random Source, r Request, own *Instance, c *survey) *Instance {
	if c.counts[healthy] == c.counts[near] {
		return own
	}
	far := s.farMarkup(now, r)
	for range spillTries {
		other := s.pick(now, random, r, healthy, c.counts[healthy])
		mean := other.mean(r)
		switch {
		case other.Member.Zone == s.config.Zone:
		case mean == 0 && random.Float64() < exploredPart:
			return other
		case mean > 0 && far.of(float64(mean)) < float64(own.mean(r)):
			return other
		}
	}
	return own
}

// exploredPart is the part of such requests that goes to an instance of which nothing is known.
const exploredPart = 0.05

// spillTries is how often another availability zone is looked for.
const spillTries = 3

// survey sums up one look at the instances.
type survey struct {
	// counts are the instances in each tier, with those of the narrower ones.
	counts       [tiers]int
	nearAhead    float64
	nearCapacity float64
}

func (s *Set) survey(now time.Time, r Request) survey {
	var c survey
	for number, i := range s.instances {
		own := s.tierOf(now, r, i)
		s.tiers[number] = own
		for t := own; t < tiers; t++ {
			c.counts[t]++
		}
		if own == near {
			c.nearAhead += i.ahead(r.Rank)
			c.nearCapacity += i.capacity(now)
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
	case i.Member.Zone != s.config.Zone || i.isFailing(now):
		return healthy
	}
	return near
}

// isFull reports whether the own zone is used so far that others are worth a look.
func (c *survey) isFull(spillFrom float64) bool {
	return c.nearAhead+1 > spillFrom*c.nearCapacity
}

// pick takes two different ones of the tier's instances at random and returns the cheaper for the request.
func (s *Set) pick(now time.Time, random Source, r Request, t tier, count int) *Instance {
	if count == 1 {
		return s.nth(t, 0)
	}
	first := random.IntN(count)
	second := random.IntN(count - 1)
	if second >= first {
		second++
	}
	a, b := s.nth(t, first), s.nth(t, second)
	if b.isCheaper(now, r, a, noMarkup) {
		return b
	}
	return a
}

// nth returns the instance of the tier with the number, from 0.
func (s *Set) nth(t tier, number int) *Instance {
	for k, i := range s.instances {
		if s.tiers[k] > t {
			continue
		}
		if number == 0 {
			return i
		}
		number--
	}
	return nil
}
