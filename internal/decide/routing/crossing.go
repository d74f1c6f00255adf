package routing

import "time"

const (
	// bytesWeight is the weight of one request in a mean of bytes.
	bytesWeight = 0.1
	// bytesMemory is for how long such a mean is known.
	bytesMemory = 10 * time.Second
)

// meanBytes are means of bytes by kind of request.
type meanBytes struct {
	byKind map[string]bytesMean
}

type bytesMean struct {
	value float64
	at    time.Time
}

// learn takes in one request.
func (m *meanBytes) learn(now time.Time, kind string, bytes int64) {
	if m.byKind == nil {
		m.byKind = map[string]bytesMean{}
	}
	known, ok := m.byKind[kind]
	switch {
	case !ok && len(m.byKind) >= maxKinds:
		clear(m.byKind)
		known.value = float64(bytes)
	case !ok || now.Sub(known.at) > bytesMemory:
		known.value = float64(bytes)
	}
	known.value += bytesWeight * (float64(bytes) - known.value)
	known.at = now
	m.byKind[kind] = known
}

// of returns the mean of the kind; 0 where none is known.
func (m *meanBytes) of(now time.Time, kind string) float64 {
	known, ok := m.byKind[kind]
	if !ok || now.Sub(known.at) > bytesMemory {
		return 0
	}
	return known.value
}

// slowerFar is how many times the time at an instance of the own zone one of another may take that saves bytes.
const slowerFar = 1.5

// crossesLess returns an instance of another availability zone where the calls of the request cross between zones so much
// less that the request itself had better cross once: where the own zone lacks something further down, or has too little
// of it. It returns nil where there is none. It goes by chance, so that only a part of the requests moves where a part
// of the calls crosses.
func (s *Set) crossesLess(now time.Time, random Source, r Request, own *Instance, c *survey) *Instance {
	below, crossing := own.farBelow.of(now, r.Kind), s.sizes.of(now, r.Kind)
	if below <= crossing || c.counts[healthy] == c.counts[near] {
		return nil
	}
	for range spillTries {
		other := s.pick(now, random, r, healthy, c.counts[healthy])
		saved := below - crossing - other.farBelow.of(now, r.Kind)
		if other.Member.Zone == s.config.Zone || saved <= 0 || !other.isCheaper(now, r, own, markup{factor: 1 / slowerFar}) {
			continue
		}
		if random.Float64()*below < saved {
			return other
		}
		return nil
	}
	return nil
}
