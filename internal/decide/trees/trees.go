// Package trees bounds how many requests of each kind run at once on a backend server while the calls that they make have
// to wait further down. A request whose calls are turned away, or wait until it is too late, has cost work at every level
// for nothing; the one place where few refusals help is before it starts. In a closed circle of requests and calls a bound
// of the requests bounds the queues below, from the first moment of a burst on.
//
// The bound of a kind shrinks while the calls of finished requests stood in queues for a large part of their time, or were
// turned away, and grows while it is used and they didn't. Calls that are less urgent wait longer than urgent ones at the
// same backend server, so the bounds of less urgent kinds shrink first.
//
// # Usage
//
//	if !limits.Begin(now, kind) { ... refuse ... }
//	limits.End(now, kind, trees.Sample{Took: took, Waited: waited, Calls: calls})
//
// The package does no I/O and reads no clock. Limits is not safe for concurrent use.
package trees

import "time"

// Config sets Limits up.
type Config struct {
	// Initial is the bound of a kind of which nothing is known, Min the least and Max the highest.
	Initial, Min, Max float64
	// HighWait is the part of its time that a request's calls may stand in queues before the bound shrinks; below LowWait
	// the bound may grow.
	HighWait, LowWait float64
	// Backoff is the factor by which the bound shrinks, at most once in the time that a request takes.
	Backoff float64
	// Growth is the part of the bound that is added in each GrowthTime in which it is used.
	Growth     float64
	GrowthTime time.Duration
}

// DefaultConfig holds where nothing else is set.
var DefaultConfig = Config{
	Initial:    10,
	Min:        2,
	Max:        1000,
	HighWait:   0.15,
	LowWait:    0.08,
	Backoff:    0.8,
	Growth:     0.1,
	GrowthTime: 150 * time.Millisecond,
}

// Sample is what a finished request showed.
type Sample struct {
	Took time.Duration
	// Waited is how long its calls, and those below them, stood in queues.
	Waited time.Duration
	// Calls is how many calls it made itself.
	Calls int
	// Refused says that one of its calls was turned away for want of room.
	Refused bool
}

// Limits holds the bounds of all kinds.
type Limits struct {
	config Config
	kinds  map[string]*limit
}

// NewLimits returns limits that bound nothing until a kind makes calls.
func NewLimits(config Config) *Limits {
	return &Limits{config: config, kinds: map[string]*limit{}}
}

// limit is the bound of one kind.
type limit struct {
	value    float64
	inFlight int
	// calls says that requests of the kind make calls.
	calls bool
	// waitShare is the recent part of their time that calls stood in queues, and took the recent time of a request.
	waitShare float64
	took      time.Duration
	usedAt    time.Time
	grownAt   time.Time
	shrunkAt  time.Time
}

// sampleWeight is the weight of one request in the recent values.
const sampleWeight = 0.2

// Begin counts a request that starts, or reports false where the bound of its kind is reached.
func (l *Limits) Begin(now time.Time, kind string) bool {
	k := l.kind(kind)
	if k.calls && float64(k.inFlight+1) > k.value {
		k.usedAt = now
		return false
	}
	k.inFlight++
	return true
}

// Cancel takes back a Begin whose request did not start.
func (l *Limits) Cancel(kind string) {
	l.kind(kind).inFlight--
}

// End takes in how a request ended.
func (l *Limits) End(now time.Time, kind string, s Sample) {
	k := l.kind(kind)
	if float64(k.inFlight+1) > k.value {
		k.usedAt = now
	}
	k.inFlight--
	if s.Calls == 0 || s.Took <= 0 {
		return
	}
	k.calls = true
	k.waitShare += sampleWeight * (float64(s.Waited)/float64(s.Took) - k.waitShare)
	k.took += time.Duration(sampleWeight * float64(s.Took-k.took))
	switch {
	case s.Refused || k.waitShare > l.config.HighWait:
		l.shrink(now, k)
	case k.waitShare < l.config.LowWait:
		l.grow(now, k)
	}
}

// RetryAfter returns when a request of the kind that was refused may come back: when one of those that run has ended.
func (l *Limits) RetryAfter(kind string) time.Duration {
	return l.kind(kind).took / 2
}

// Value returns the bound of the kind, and whether it is in force.
func (l *Limits) Value(kind string) (float64, bool) {
	k := l.kind(kind)
	return k.value, k.calls
}

func (l *Limits) shrink(now time.Time, k *limit) {
	if now.Sub(k.shrunkAt) < k.took {
		return
	}
	k.shrunkAt = now
	k.value = max(min(k.value, float64(k.inFlight+1))*l.config.Backoff, l.config.Min)
}

func (l *Limits) grow(now time.Time, k *limit) {
	if now.Sub(k.grownAt) < l.config.GrowthTime || now.Sub(k.usedAt) > l.config.GrowthTime {
		return
	}
	k.grownAt = now
	k.value = min(k.value+max(l.config.Growth*k.value, leastGrowth), l.config.Max)
}

// leastGrowth is added at least.
const leastGrowth = 0.5

func (l *Limits) kind(name string) *limit {
	k, known := l.kinds[name]
	if !known {
		k = &limit{value: l.config.Initial}
		l.kinds[name] = k
	}
	return k
}
