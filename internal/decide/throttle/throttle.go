// Package throttle decides at the entry node which root requests are refused before any work is done for them. It learns
// from the results of earlier, similar root requests along their call chains.
//
// A Throttle handles the root requests of one kind and rank. While some of them are refused anywhere along their call
// chains, it admits about as many requests as were accepted, plus some headroom to detect at once when more would be
// accepted. Because it measures the accepted rate, slow replies can't make it refuse more and more requests.
//
// Callers that send no more than an equal share of the accepted rate are admitted first, and callers slightly above it
// are seldom refused. Requests that are sent again get a limited fraction of the accepted rate, or the capacity that new
// requests leave unused if that is more. A throttle that receives too few requests to measure the accepted rate instead
// learns which ratio of its own requests is accepted, and admits that ratio.
//
// # Usage
//
//	t := throttle.New(throttle.DefaultConfig)
//	verdict := t.Offer(now, random, throttle.Offer{Caller: "parish"})
//	if !verdict.Admitted {
//		return verdict.RetryAfter // the request is refused
//	}
//	// Send the request.
//	t.Observe(now, throttle.Accepted)
//
// The package does no I/O and reads no clock. A Throttle is not safe for concurrent use.
package throttle

import (
	"math"
	"time"
)

// Source is a source of random numbers.
type Source interface {
	// Float64 returns a number in the half-open interval [0, 1).
	Float64() float64
}

// Result is the result of an admitted request.
type Result int

// Possible values of Result.
const (
	// Neutral carries no information about overload.
	Neutral Result = iota
	// Accepted means a complete, successful reply.
	Accepted
	// Refused means that the request was shed, at the entry node or further down its call chain.
	Refused
)

// Config configures a Throttle.
type Config struct {
	// TimeConstant is the time constant with which the counts decay.
	TimeConstant time.Duration
	// PeakTimeConstant is the time constant with which the peak of the accepted rate decays.
	PeakTimeConstant time.Duration
	// Headroom is the ratio of the admitted rate to the peak of the accepted rate just after a request was refused
	// downstream. Until the next such refusal, the ratio grows by HeadroomStep with each accepted request, but at most
	// once in each StepInterval, up to MaxHeadroom.
	Headroom     float64
	HeadroomStep float64
	StepInterval time.Duration
	MaxHeadroom  float64
	// ProbeRatio is the fraction of requests that is admitted in any case. A request is also admitted if no other was
	// for ProbeInterval.
	ProbeRatio    float64
	ProbeInterval time.Duration
	// ResentRatio is the fraction of the accepted rate that is open to requests sent again while some are refused, even
	// if new requests alone would use up the rate.
	ResentRatio float64
	// LowRateRequests is the decayed count of requests below which the accepted rate can't be measured. A node with
	// fewer requests learns the ratio of accepted requests instead; 0 turns this off.
	LowRateRequests float64
	// MaxCallers is the maximum number of callers that are counted separately; further callers count as one.
	MaxCallers int
	// MinRetryAfter and MaxRetryAfter bound the Retry-After of refused requests, before randomization.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig is the default configuration.
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
	// Resent reports whether the caller has sent the request before.
	Resent bool
}

// Verdict is the decision on an offer.
type Verdict struct {
	Admitted bool
	// RetryAfter is the time after which a refused request may be sent again. It is randomized, so that requests refused
	// together are not sent again together.
	RetryAfter time.Duration
}

// Throttle handles the root requests of one kind and rank.
type Throttle struct {
	config Config
	// decayedAt is when the counts last decayed.
	decayedAt time.Time

	accepted float64
	// peak is the slowly decaying maximum of accepted: random refusals at a lower rate don't lower it.
	peak         float64
	refusedBelow float64
	// refusedHere counts the requests that the throttle itself refused.
	refusedHere float64
	// newRequests counts the offered requests that are new, and resent those that were sent before.
	newRequests float64
	resent      float64
	callers     map[string]float64
	// lowRate decides while there are few requests.
	lowRate admissionRatio

	// acceptedSinceRefusal counts the accepted requests since the last refused one, which was at refusedBelowAt.
	acceptedSinceRefusal float64
	refusedBelowAt       time.Time
	admittedAt           time.Time
	// lastRefusal is the last request that the throttle itself refused.
	lastRefusal Refusal
}

// New returns a throttle that admits everything.
func New(config Config) *Throttle {
	return &Throttle{config: config, callers: map[string]float64{}}
}

// otherCallers is the name under which the callers above MaxCallers are counted.
const otherCallers = ""

// Offer decides whether a request is admitted.
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
	t.lowRate = admissionRatio{} // The ratio learned under a high rate does not apply to a later low rate.
	equalShare := t.accepted / float64(len(t.callers))
	refusalRatio := t.refusalRatio(now)
	switch {
	case now.Sub(t.admittedAt) >= t.config.ProbeInterval || random.Float64() < t.config.ProbeRatio:
	case callerCount <= equalShare:
	case o.Resent && t.refusedBelow > unthrottledRequests && random.Float64() < t.maxResent(now)/t.resent:
	case o.Resent && t.refusedBelow > unthrottledRequests:
		// Not counted in refusedHere, which raises the refusal ratio: requests sent again must not displace new ones.
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

// isLowRate reports whether there were too few requests recently to measure the accepted rate.
func (t *Throttle) isLowRate() bool { return t.newRequests+t.resent < t.config.LowRateRequests }

// offerAtLowRate decides on a request while there are few requests.
func (t *Throttle) offerAtLowRate(now time.Time, random Source) Verdict {
	if random.Float64() < t.lowRate.value(now) {
		t.admittedAt = now
		return Verdict{Admitted: true}
	}
	t.refusedHere++
	t.lastRefusal = Refusal{Reason: RefusedAboveRate, At: now}
	return Verdict{RetryAfter: t.retryAfter(random)}
}

// Observe records the result of an admitted request.
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

// IsThrottling reports whether the throttle refuses requests because fewer are accepted than are offered.
func (t *Throttle) IsThrottling(now time.Time) bool {
	t.decay(now)
	return t.refusalRatio(now) > 0
}

// IsIdle reports whether all counts have decayed, so that the throttle may be deleted.
func (t *Throttle) IsIdle(now time.Time) bool {
	t.decay(now)
	return t.accepted+t.refusedBelow+t.refusedHere+float64(len(t.callers)) < negligibleCount
}

// negligibleCount is the value below which a decayed count is taken as zero.
const negligibleCount = 0.05

// unthrottledRequests is how many of the counted requests are not throttled, so that a few requests can't block each
// other.
const unthrottledRequests = 1

// refusalRatio returns the ratio of requests to refuse.
func (t *Throttle) refusalRatio(now time.Time) float64 {
	offered := t.accepted + t.refusedBelow + t.refusedHere
	if offered == 0 {
		return 0
	}
	return max(0, (offered-unthrottledRequests-t.maxAdmitted(now))/offered)
}

// maxAdmitted returns the highest count of admitted requests that the peak of the accepted count and the present headroom
// allow.
func (t *Throttle) maxAdmitted(now time.Time) float64 {
	steps := min(t.acceptedSinceRefusal, float64(now.Sub(t.refusedBelowAt))/float64(t.config.StepInterval))
	return min(t.config.Headroom+t.config.HeadroomStep*steps, t.config.MaxHeadroom) * t.peak
}

// maxResent returns the highest count of admitted requests that are sent again: Config.ResentRatio of the accepted count,
// or what new requests leave of maxAdmitted, whichever is more.
func (t *Throttle) maxResent(now time.Time) float64 {
	return max(t.config.ResentRatio*t.accepted, t.maxAdmitted(now)-t.newRequests)
}

func (t *Throttle) retryAfter(random Source) time.Duration {
	offered := t.accepted + t.refusedBelow + t.refusedHere
	delay := time.Duration(float64(t.config.TimeConstant) * offered / (t.accepted + 1))
	delay = min(max(delay, t.config.MinRetryAfter), t.config.MaxRetryAfter)
	return time.Duration(float64(delay) * (0.5 + random.Float64()))
}

// countCaller counts one request of the caller and returns the caller's count.
func (t *Throttle) countCaller(caller string) float64 {
	if _, ok := t.callers[caller]; !ok && len(t.callers) >= t.config.MaxCallers {
		caller = otherCallers
	}
	t.callers[caller]++
	return t.callers[caller]
}

// minDecayInterval is the least time between two updates of the counts.
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
