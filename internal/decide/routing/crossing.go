package routing

import "time"

const (
	// kindAverageWeight is the weight of one request in the mean of its kind.
	kindAverageWeight = 0.1
	// kindAverageExpiry is for how long such a mean is known.
	kindAverageExpiry = 10 * time.Second
)

// kindAverages are recent means by kind of request.
type kindAverages struct {
	byKind map[string]kindAverage
	// startAtZero means begin at 0, others with the first value.
	startAtZero bool
}

type kindAverage struct {
	value     float64
	updatedAt time.Time
}

// observe takes in the value of one request.
func (m *kindAverages) observe(now time.Time, kind string, value float64) {
	if m.byKind == nil {
		m.byKind = map[string]kindAverage{}
	}
	average, ok := m.byKind[kind]
	switch {
	case !ok && len(m.byKind) >= maxKinds:
		clear(m.byKind)
		average.value = m.initial(value)
	case !ok || now.Sub(average.updatedAt) > kindAverageExpiry:
		average.value = m.initial(value)
	}
	average.value += kindAverageWeight * (value - average.value)
	average.updatedAt = now
	m.byKind[kind] = average
}

// initial returns where a mean begins.
func (m *kindAverages) initial(value float64) float64 {
	if m.startAtZero {
		return 0
	}
	return value
}

// get returns the mean of the kind; 0 where none is known.
func (m *kindAverages) get(now time.Time, kind string) float64 {
	average, ok := m.byKind[kind]
	if !ok || now.Sub(average.updatedAt) > kindAverageExpiry {
		return 0
	}
	return average.value
}

// maxCrossingFraction is the largest part of the requests that moves; the others show when their calls no longer cross.
const maxCrossingFraction = 0.98

// maxCrossZoneSlowdown is how many times as long as at an instance of the own zone requests may take at one of another that saves bytes.
const maxCrossZoneSlowdown = 1.5

// pickFewerCrossZoneBytes returns an instance of another availability zone where the calls of the request cross between zones so much
// less that the request itself had better cross once: where the own zone lacks something further down, or has too little
// of it. It returns nil where there is none. Only so large a part of the requests moves as has calls that cross.
func (s *Set) pickFewerCrossZoneBytes(now time.Time, random Source, r Request, own *Instance) *Instance {
	ownBytes, requestBytes := own.crossZoneBytes.get(now, r.Kind), s.sizes.get(now, r.Kind)
	if random.Float64() >= min(own.crossZoneFraction.get(now, r.Kind), maxCrossingFraction) {
		return nil
	}
	return s.pickOtherZone(now, random, r, func(i *Instance) bool {
		return ownBytes-requestBytes > i.crossZoneBytes.get(now, r.Kind) && i.isQuickEnough(now, r, own)
	})
}

// isQuickEnough reports whether the instance has room and takes little longer than the other one.
func (i *Instance) isQuickEnough(now time.Time, r Request, other *Instance) bool {
	if i.requestsAhead(r.Rank)+1 > i.config.SpillUtilization*i.capacity(now) {
		return false
	}
	a, b, ok := i.latencies.comparablePair(now, requestClass{rank: r.Rank, kind: r.Kind}, i.config.TimeConstant, &other.latencies)
	return !ok || i.penalizedLatency(now, a) < maxCrossZoneSlowdown*other.penalizedLatency(now, b)
}
