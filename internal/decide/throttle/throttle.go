// Package throttle decides at the entry which root requests are refused before any work is done for them, by what
// became of the chains of others like them.
//
// A Throttle watches the root requests of one kind and rank. While some of them are refused anywhere down their
// chains, it admits about as many as were accepted, and a little more, so that it notices at once when more would be
// accepted. Since it measures the accepted rate, the time that replies take can't make it refuse ever more. Callers
// that send no more than their equal part are admitted before the others, those just above it are refused seldom, and
// requests that are sent again get a bounded part and what new ones leave. A throttle that sees few requests can't tell that
// rate; it learns which part of its own are accepted, and admits that part.
//
// # Usage
//
//	verdict := t.Offer(now, random, throttle.Offer{Caller: "parish"})
//	if verdict.Admitted {
//		... send it ...
//		t.Learn(now, throttle.Accepted)
//	}
//
// The package does no I/O and reads no clock. A Throttle is not safe for concurrent use.
package throttle

import (
	"math"
	"time"
)

// Source gives random numbers.
type Source interface {
	// Float64 returns a number from 0 up to, but not including, 1.
	Float64() float64
}

// Result is what became of an admitted request.
type Result int

// The results.
const (
	// Neutral tells nothing about overload.
	Neutral Result = iota
	// Accepted is a whole good answer.
	Accepted
	// Refused means that the request was shed, here or further down its chain.
	Refused
)

// Config sets a Throttle up.
type Config struct {
	// TimeConstant is the time constant with which counts fade.
	TimeConstant time.Duration
	// PeakTimeConstant is the time constant with which the highest accepted rate fades.
	PeakTimeConstant time.Duration
	// Headroom is the admitted rate over the accepted one just after a request was refused. It grows by HeadroomStep
	// with each accepted request, but at most once in StepTime, up to MaxHeadroom, until the next one is refused.
	Headroom     float64
	HeadroomStep float64
	StepInterval time.Duration
	MaxHeadroom  float64
	// ProbeRatio is the part of the requests that is admitted in any case, and ProbeEvery the time without an
	// admitted request after which one is.
	ProbeRatio    float64
	ProbeInterval time.Duration
	// ResentRatio is the part of the accepted rate that requests sent again get while some are refused, even where new
	// ones would take it all.
	ResentRatio float64
	// LowRateRequests is how many in a window tell too little about the rate that is accepted. A node that sees fewer learns which
	// part of them is accepted instead; 0 for none.
	LowRateRequests float64
	// MaxCallers bounds the callers that are told apart; the others count as one.
	MaxCallers int
	// MinRetryAfter and MaxRetryAfter bound what refused callers are told.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig holds where nothing else is set.
var DefaultConfig = Config{
	TimeConstant:     250 * time.Millisecond,
	PeakTimeConstant: 1500 * time.Millisecond,
	Headroom:         1.05,
	HeadroomStep:     0.04,
	StepInterval:     15 * time.Millisecond,
	MaxHeadroom:      3,
	ProbeRatio:       0.01,
	ProbeInterval:    500 * time.Millisecond,
	ResentRatio:      0.2,
	LowRateRequests:  6,
	MaxCallers:       256,
	MinRetryAfter:    100 * time.Millisecond,
	MaxRetryAfter:    5 * time.Second,
}

// Offer is a root request that asks to be admitted.
type Offer struct {
	Caller string
	// Resent says that the caller has sent the request before.
	Resent bool
}

// Verdict answers an offer.
type Verdict struct {
	Admitted bool
	// RetryAfter is when a refused request may be sent again. It differs from request to request, so that those
	// refused together don't come back together.
	RetryAfter time.Duration
}

// Throttle watches the root requests of one kind and rank.
type Throttle struct {
	config Config
	// decayedAt is when the counts were last faded.
	decayedAt time.Time

	accepted float64
	// peak is the highest count of accepted requests, fading slowly: chance refusals at a lower rate don't lower it.
	peak         float64
	refusedBelow float64
	// refusedHere counts the requests that the throttle refused itself.
	refusedHere float64
	// newRequests and resent count the new requests that were offered, and those sent again.
	newRequests float64
	resent      float64
	callers     map[string]float64
	// lowRate decides while there are few requests.
	lowRate admissionRatio

	// acceptedSinceRefusal counts the accepted requests since the last refused one, at refusedAt.
	acceptedSinceRefusal float64
	refusedBelowAt       time.Time
	admittedAt           time.Time
	// lastRefusal is the newest request that the throttle refused itself.
	lastRefusal Refusal
}

// New returns a throttle that admits everything.
func New(config Config) *Throttle {
	return &Throttle{config: config, callers: map[string]float64{}}
}

// otherCallers stands for the callers beyond the bound.
const otherCallers = ""

// Offer decides on one request.
func (t *Throttle) Offer(now time.Time, random Source, o Offer) Verdict {
	t.decay(now)
	callerCount := t.countCaller(o.Caller)
	if o.Resent {
		t.resent++
	} else {
		t.newRequests++
	}
	if t.isLowRate() {
		return t.offerAtLowRate(now, random)
	}
	t.lowRate = admissionRatio{} // what a rush showed says nothing about the few requests after it
	equalShare := t.accepted / float64(len(t.callers))
	refusalRatio := t.refusalRatio(now)
	switch {
	case now.Sub(t.admittedAt) >= t.config.ProbeInterval || random.Float64() < t.config.ProbeRatio:
	case callerCount <= equalShare:
	case o.Resent && t.refusedBelow > unthrottledRequests && random.Float64() < t.maxResent(now)/t.resent:
	case o.Resent && t.refusedBelow > unthrottledRequests:
		// Not counted, so that requests sent again don't take the place of new ones.
		t.lastRefusal = Refusal{Reason: RefusedResent, At: now}
		return Verdict{RetryAfter: t.retryAfter(random)}
	case refusalRatio == 0:
	case random.Float64() < min(refusalRatio, 1-equalShare/callerCount):
		t.refusedHere++
		t.lastRefusal = Refusal{Reason: RefusedAboveRate, At: now}
		return Verdict{RetryAfter: t.retryAfter(random)}
	}
	t.admittedAt = now
	return Verdict{Admitted: true}
}

// isLowRate reports whether so few requests came lately that they tell little about the rate that is accepted.
func (t *Throttle) isLowRate() bool { return t.newRequests+t.resent < t.config.LowRateRequests }

// offerAtLowRate decides on one of few requests.
func (t *Throttle) offerAtLowRate(now time.Time, random Source) Verdict {
	if random.Float64() < t.lowRate.value(now) {
		t.admittedAt = now
		return Verdict{Admitted: true}
	}
	t.refusedHere++
	t.lastRefusal = Refusal{Reason: RefusedAboveRate, At: now}
	return Verdict{RetryAfter: t.retryAfter(random)}
}

// Observe takes in what became of an admitted request.
func (t *Throttle) Observe(now time.Time, r Result) {
	t.decay(now)
	if t.isLowRate() {
		t.lowRate.observe(now, r)
	}
	switch r {
	case Accepted:
		t.accepted++
		t.peak = max(t.peak, t.accepted)
		t.acceptedSinceRefusal++
	case Refused:
		t.refusedBelow++
		t.acceptedSinceRefusal = 0
		t.refusedBelowAt = now
	}
}

// IsThrottling reports whether requests are being refused.
func (t *Throttle) IsThrottling(now time.Time) bool {
	t.decay(now)
	return t.refusalRatio(now) > 0
}

// IsIdle reports whether nothing was counted lately, so that the throttle may be forgotten.
func (t *Throttle) IsIdle(now time.Time) bool {
	t.decay(now)
	return t.accepted+t.refusedBelow+t.refusedHere+float64(len(t.callers)) < negligibleCount
}

// negligibleCount is the count below which nothing is left of one request.
const negligibleCount = 0.05

// unthrottledRequests is how many requests in a window are not throttled, so that few requests can't stop each other.
const unthrottledRequests = 1

// refusalRatio is the part of the requests to refuse.
func (t *Throttle) refusalRatio(now time.Time) float64 {
	offered := t.accepted + t.refusedBelow + t.refusedHere
	if offered == 0 {
		return 0
	}
	return max(0, (offered-unthrottledRequests-t.maxAdmitted(now))/offered)
}

// maxAdmitted is how many requests may be admitted in the time that the counts hold.
func (t *Throttle) maxAdmitted(now time.Time) float64 {
	steps := min(t.acceptedSinceRefusal, float64(now.Sub(t.refusedBelowAt))/float64(t.config.StepInterval))
	return min(t.config.Headroom+t.config.HeadroomStep*steps, t.config.MaxHeadroom) * t.peak
}

// maxResent is how many of these may be requests sent again: a bounded part, and what new ones leave.
func (t *Throttle) maxResent(now time.Time) float64 {
	return max(t.config.ResentRatio*t.accepted, t.maxAdmitted(now)-t.newRequests)
}

func (t *Throttle) retryAfter(random Source) time.Duration {
	offered := t.accepted + t.refusedBelow + t.refusedHere
	wait := time.Duration(float64(t.config.TimeConstant) * offered / (t.accepted + 1))
	wait = min(max(wait, t.config.MinRetryAfter), t.config.MaxRetryAfter)
	return time.Duration(float64(wait) * (0.5 + random.Float64()))
}

// countCaller adds one request of the caller and returns its count.
func (t *Throttle) countCaller(caller string) float64 {
	if _, ok := t.callers[caller]; !ok && len(t.callers) >= t.config.MaxCallers {
		caller = otherCallers
	}
	t.callers[caller]++
	return t.callers[caller]
}

// minDecayInterval is the shortest time after which counts are renewed.
const minDecayInterval = 5 * time.Millisecond

func (t *Throttle) decay(now time.Time) {
	if t.decayedAt.IsZero() {
		t.decayedAt = now
		return
	}
	passed := now.Sub(t.decayedAt)
	if passed < minDecayInterval {
		return
	}
	t.decayedAt = now
	factor := math.Exp(-float64(passed) / float64(t.config.TimeConstant))
	t.accepted *= factor
	t.peak = max(t.accepted, t.peak*math.Exp(-float64(passed)/float64(t.config.PeakTimeConstant)))
	t.refusedBelow *= factor
	t.refusedHere *= factor
	t.newRequests *= factor
	t.resent *= factor
	for caller, count := range t.callers {
		if count*factor < negligibleCount {
			delete(t.callers, caller)
			continue
		}
		t.callers[caller] = count * factor
	}
}
