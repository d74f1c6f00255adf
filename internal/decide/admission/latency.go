package admission

import "time"

// maxKinds bounds the kinds whose latency is told apart; further ones share an entry.
const maxKinds = 256

// kindLatency is what is known of one kind's time in the backend server.
type kindLatency struct {
	// baseline is the lowest mean of a window seen.
	baseline time.Duration
	// lastSeen is when a whole answer was last seen.
	lastSeen time.Time
	// held is the least time for which requests with a whole answer lately held a slot.
	held recentLeast

	count int
	total time.Duration
	cut   bool
}

// latencies compares each kind's latency with its own baseline, so that a changing mix of quick and slow kinds isn't
// taken for a change of the backend server.
type latencies struct {
	memory time.Duration
	slack  time.Duration
	kinds  map[string]*kindLatency
	// sweepAfter is when kinds that are no longer seen are next forgotten.
	sweepAfter time.Time
}

func newLatencies(memory, slack time.Duration) *latencies {
	return &latencies{memory: memory, slack: slack, kinds: map[string]*kindLatency{}}
}

func (l *latencies) observe(now time.Time, s Sample) {
	k := l.kind(s.Kind)
	if s.Cut && s.Took < k.baseline {
		return
	}
	k.count++
	k.total += s.Took
	k.cut = k.cut || s.Cut
	if !s.Cut {
		k.lastSeen = now
		k.held.observe(now, s.Held)
	}
}

// closeWindow returns the mean of each request's latency over its kind's baseline, 0 where there was none.
func (l *latencies) closeWindow(now time.Time) float64 {
	l.sweep(now)
	requests := 0
	excess := 0.0
	for _, k := range l.kinds {
		if k.count == 0 {
			continue
		}
		count := k.count
		requests += count
		excess += float64(count) * k.closeWindow(l.slack)
	}
	if requests == 0 {
		return 0
	}
	return excess / float64(requests)
}

// sweep forgets the kinds that were not seen for long.
func (l *latencies) sweep(now time.Time) {
	if now.Before(l.sweepAfter) {
		return
	}
	l.sweepAfter = now.Add(l.memory)
	for name, k := range l.kinds {
		if now.Sub(k.lastSeen) > l.memory && k.count == 0 {
			delete(l.kinds, name)
		}
	}
}

func (k *kindLatency) closeWindow(slack time.Duration) float64 {
	mean := k.total / time.Duration(k.count)
	if !k.cut {
		k.baseline = lowest(k.baseline, mean)
	}
	k.count, k.total, k.cut = 0, 0, false
	if k.baseline == 0 {
		return 1
	}
	return float64(mean) / float64(k.baseline+slack)
}

// lowest returns the lower of the two, where 0 stands for none.
func lowest(known, mean time.Duration) time.Duration {
	if known == 0 {
		return mean
	}
	return min(known, mean)
}

// evidenceTime is how long the last answers of a kind say what the next one will take.
const evidenceTime = time.Second

// recentLeast is the least of the values seen in the last evidenceTime, or up to twice that.
type recentLeast struct {
	present  time.Duration
	previous time.Duration
	turnAt   time.Time
}

func (r *recentLeast) observe(now time.Time, value time.Duration) {
	if !now.Before(r.turnAt) {
		r.previous, r.present = r.present, 0
		r.turnAt = now.Add(evidenceTime)
	}
	r.present = lowest(r.present, value)
}

func (r *recentLeast) value() time.Duration {
	if r.previous == 0 {
		return r.present
	}
	return lowest(r.present, r.previous)
}

// least returns the least time that a request of the kind takes, with its calls down the chain; 0 where too little is
// known lately.
func (l *latencies) least(now time.Time, kind string) time.Duration {
	k, ok := l.kinds[kind]
	if !ok || now.Sub(k.lastSeen) > evidenceTime {
		return 0
	}
	return k.held.value()
}

func (l *latencies) kind(name string) *kindLatency {
	k, ok := l.kinds[name]
	if ok {
		return k
	}
	if len(l.kinds) >= maxKinds {
		name = ""
	}
	k = &kindLatency{}
	if shared, ok := l.kinds[name]; ok {
		return shared
	}
	l.kinds[name] = k
	return k
}
