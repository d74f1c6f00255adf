package admission

import "time"

// maxKinds is the maximum number of kinds that are tracked separately; further kinds share one entry.
const maxKinds = 256

// kindLatency holds the latency statistics of one kind at the backend server.
type kindLatency struct {
	// baseline is the lowest mean of any window.
	baseline time.Duration
	// lastSeen is the time of the last complete sample.
	lastSeen time.Time
	// minHoldTime is the recent minimum of the hold times of complete samples.
	minHoldTime recentMin

	count      int
	total      time.Duration
	incomplete bool
}

// latencyTracker compares each kind's latency with the kind's own baseline, so that a change in the mix of fast and slow
// kinds isn't mistaken for a change of the backend server.
type latencyTracker struct {
	retention time.Duration
	slack     time.Duration
	kinds     map[string]*kindLatency
	// sweepAfter is the earliest time of the next removal of unused kinds.
	sweepAfter time.Time
}

func newLatencyTracker(retention, slack time.Duration) *latencyTracker {
	return &latencyTracker{retention: retention, slack: slack, kinds: map[string]*kindLatency{}}
}

func (l *latencyTracker) observe(now time.Time, s Sample) {
	k := l.kind(s.Kind)
	if s.Incomplete && s.ServiceTime < k.baseline {
		return
	}
	k.count++
	k.total += s.ServiceTime
	k.incomplete = k.incomplete || s.Incomplete
	if !s.Incomplete {
		k.lastSeen = now
		k.minHoldTime.observe(now, s.HoldTime)
	}
}

// closeWindow ends the window and returns the mean ratio of latency to the kind's baseline; 0 without samples.
func (l *latencyTracker) closeWindow(now time.Time) float64 {
	l.sweep(now)
	requests := 0
	ratioSum := 0.0
	for _, k := range l.kinds {
		if k.count == 0 {
			continue
		}
		count := k.count
		requests += count
		ratioSum += float64(count) * k.closeWindow(l.slack)
	}
	if requests == 0 {
		return 0
	}
	return ratioSum / float64(requests)
}

// sweep removes kinds that were not seen for the retention time.
func (l *latencyTracker) sweep(now time.Time) {
	if now.Before(l.sweepAfter) {
		return
	}
	l.sweepAfter = now.Add(l.retention)
	for name, k := range l.kinds {
		if now.Sub(k.lastSeen) > l.retention && k.count == 0 {
			delete(l.kinds, name)
		}
	}
}

func (k *kindLatency) closeWindow(slack time.Duration) float64 {
	mean := k.total / time.Duration(k.count)
	if !k.incomplete {
		k.baseline = minNonzero(k.baseline, mean)
	}
	k.count, k.total, k.incomplete = 0, 0, false
	if k.baseline == 0 {
		return 1
	}
	return float64(mean) / float64(k.baseline+slack)
}

// minNonzero returns the lower of the two values, where a known value of 0 means that there is none.
func minNonzero(known, mean time.Duration) time.Duration {
	if known == 0 {
		return mean
	}
	return min(known, mean)
}

// holdTimeExpiry is how long the last hold times of a kind are used to predict the hold time of its next request.
const holdTimeExpiry = time.Second

// recentMin is the minimum of the values observed within holdTimeExpiry, or up to twice that.
type recentMin struct {
	current  time.Duration
	previous time.Duration
	rotateAt time.Time
}

func (r *recentMin) observe(now time.Time, value time.Duration) {
	if !now.Before(r.rotateAt) {
		r.previous, r.current = r.current, 0
		r.rotateAt = now.Add(holdTimeExpiry)
	}
	r.current = minNonzero(r.current, value)
}

func (r *recentMin) value() time.Duration {
	if r.previous == 0 {
		return r.current
	}
	return minNonzero(r.current, r.previous)
}

// minHoldTime returns the recent minimum of the kind's hold times, calls made by the requests included; 0 if there is no
// recent sample.
func (l *latencyTracker) minHoldTime(now time.Time, kind string) time.Duration {
	k, ok := l.kinds[kind]
	if !ok || now.Sub(k.lastSeen) > holdTimeExpiry {
		return 0
	}
	return k.minHoldTime.value()
}

func (l *latencyTracker) kind(name string) *kindLatency {
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
