package routing

import "time"

const (
	// kindAverageWeight is the weight of one request in the moving average of its kind.
	kindAverageWeight = 0.1
	// kindAverageExpiry is the time after the last observation at which the average of a kind is discarded.
	kindAverageExpiry = 10 * time.Second
)

// kindAverages holds a moving average per request kind.
type kindAverages struct {
	byKind map[string]kindAverage
	// startAtZero makes a new average start at 0 instead of at the first observed value, so that the first few requests
	// of a kind have little effect.
	startAtZero bool
}

type kindAverage struct {
	value     float64
	updatedAt time.Time
}

// observe adds the value of one request to the average of its kind.
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

// initial returns the start value of a new average whose first observation is value.
func (m *kindAverages) initial(value float64) float64 {
	if m.startAtZero {
		return 0
	}
	return value
}

// get returns the average of the kind, or 0 if there is no recent one.
func (m *kindAverages) get(now time.Time, kind string) float64 {
	average, ok := m.byKind[kind]
	if !ok || now.Sub(average.updatedAt) > kindAverageExpiry {
		return 0
	}
	return average.value
}

// maxCrossingFraction is the largest fraction of requests that is moved to another availability zone. The others
// stay, so that it is noticed when their calls no longer cross between zones.
const maxCrossingFraction = 0.98

// maxCrossZoneSlowdown limits the expected latency at an instance of another zone that saves cross-zone bytes, as a
// multiple of the expected latency at the instance in the sender's zone.
const maxCrossZoneSlowdown = 1.5

// pickFewerCrossZoneBytes returns an instance of another availability zone at which the request and its calls send
// fewer bytes between zones than if it stayed at own. This is the case if the sender's zone lacks a service further
// down the call chain or has too little capacity of it. It returns nil if there is no such instance.
//
// The fraction of requests that is moved is the fraction whose calls cross between zones.
func (s *Set) pickFewerCrossZoneBytes(now time.Time, random Source, r Request, own *Instance) *Instance {
	ownBytes, requestBytes := own.crossZoneBytes.get(now, r.Kind), s.sizes.get(now, r.Kind)
	if random.Float64() >= min(own.crossZoneFraction.get(now, r.Kind), maxCrossingFraction) {
		return nil
	}
	return s.pickOtherZone(now, random, r, func(i *Instance) bool {
		return ownBytes-requestBytes > i.crossZoneBytes.get(now, r.Kind) && i.isQuickEnough(now, r, own)
	})
}

// isQuickEnough reports whether the instance is below the spill utilization and its expected latency is less than
// maxCrossZoneSlowdown times that of the other instance. If the latencies cannot be compared, only the utilization
// counts.
func (i *Instance) isQuickEnough(now time.Time, r Request, other *Instance) bool {
	if i.requestsAhead(r.Rank)+1 > i.config.SpillUtilization*i.capacity(now) {
		return false
	}
	a, b, ok := i.latencies.comparablePair(now, requestClass{rank: r.Rank, kind: r.Kind}, i.config.TimeConstant, &other.latencies)
	return !ok || i.penalizedLatency(now, a) < maxCrossZoneSlowdown*other.penalizedLatency(now, b)
}
