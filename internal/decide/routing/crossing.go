package routing

import "time"

const (
	// kindWeight is the weight of one request in the mean of its kind.
	kindWeight = 0.1
	// kindMemory is for how long such a mean is known.
	kindMemory = 10 * time.Second
)

// kindMeans are recent means by kind of request.
type kindMeans struct {
	byKind map[string]kindMean
	// cautious means begin at 0, others with the first value.
	cautious bool
}

type kindMean struct {
	value float64
	at    time.Time
}

// learn takes in the value of one request.
func (m *kindMeans) learn(now time.Time, kind string, value float64) {
	if m.byKind == nil {
		m.byKind = map[string]kindMean{}
	}
	known, ok := m.byKind[kind]
	switch {
	case !ok && len(m.byKind) >= maxKinds:
		clear(m.byKind)
		known.value = m.first(value)
	case !ok || now.Sub(known.at) > kindMemory:
		known.value = m.first(value)
	}
	known.value += kindWeight * (value - known.value)
	known.at = now
	m.byKind[kind] = known
}

// first returns where a mean begins.
func (m *kindMeans) first(value float64) float64 {
	if m.cautious {
		return 0
	}
	return value
}

// of returns the mean of the kind; 0 where none is known.
func (m *kindMeans) of(now time.Time, kind string) float64 {
	known, ok := m.byKind[kind]
	if !ok || now.Sub(known.at) > kindMemory {
		return 0
	}
	return known.value
}

// mostMoved is the largest part of the requests that moves; the others show when their calls no longer cross.
const mostMoved = 0.98

// slowerFar is how many times as long as at an instance of the own zone requests may take at one of another that saves bytes.
const slowerFar = 1.5

// crossesLess returns an instance of another availability zone where the calls of the request cross between zones so much
// less that the request itself had better cross once: where the own zone lacks something further down, or has too little
// of it. It returns nil where there is none. Only so large a part of the requests moves as has calls that cross.
func (s *Set) crossesLess(now time.Time, random Source, r Request, own *Instance) *Instance {
	below, crossing := own.farBelow.of(now, r.Kind), s.sizes.of(now, r.Kind)
	if random.Float64() >= min(own.farShare.of(now, r.Kind), mostMoved) {
		return nil
	}
	return s.pickElsewhere(now, random, r, func(i *Instance) bool {
		return below-crossing > i.farBelow.of(now, r.Kind) && i.isQuickEnough(now, r, own)
	})
}

// isQuickEnough reports whether the instance has room and takes little longer than the other one.
func (i *Instance) isQuickEnough(now time.Time, r Request, other *Instance) bool {
	if i.ahead(r.Rank)+1 > i.config.SpillFrom*i.capacity(now) {
		return false
	}
	a, b, ok := i.latencies.common(now, work{rank: r.Rank, kind: r.Kind}, i.config.Fade, &other.latencies)
	return !ok || i.delay(now, a) < slowerFar*other.delay(now, b)
}
