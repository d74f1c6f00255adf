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
	// Window is the time constant with which counts fade.
	Window time.Duration
	// PeakLife is the time constant with which the highest accepted rate fades.
	PeakLife time.Duration
	// Headroom is the admitted rate over the accepted one just after a request was refused. It grows by HeadroomStep
	// with each accepted request, but at most once in StepTime, up to MaxHeadroom, until the next one is refused.
	Headroom     float64
	HeadroomStep float64
	StepTime     time.Duration
	MaxHeadroom  float64
	// ProbeShare is the part of the requests that is admitted in any case, and ProbeEvery the time without an
	// admitted request after which one is.
	ProbeShare float64
	ProbeEvery time.Duration
	// ResentShare is the part of the accepted rate that requests sent again get while some are refused, even where new
	// ones would take it all.
	ResentShare float64
	// FewRequests is how many in a window tell too little about the rate that is accepted. A node that sees fewer learns which
	// part of them is accepted instead; 0 for none.
	FewRequests float64
	// MaxCallers bounds the callers that are told apart; the others count as one.
	MaxCallers int
	// MinRetryAfter and MaxRetryAfter bound what refused callers are told.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig holds where nothing else is set.
var DefaultConfig = Config{
	Window:        250 * time.Millisecond,
	PeakLife:      1500 * time.Millisecond,
	Headroom:      1.05,
	HeadroomStep:  0.04,
	StepTime:      15 * time.Millisecond,
	MaxHeadroom:   3,
	ProbeShare:    0.01,
	ProbeEvery:    500 * time.Millisecond,
	ResentShare:   0.2,
	FewRequests:   6,
	MaxCallers:    256,
	MinRetryAfter: 100 * time.Millisecond,
	MaxRetryAfter: 5 * time.Second,
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
	// last is when the counts were last faded.
	last time.Time

	accepted float64
	// peak is the highest count of accepted requests, fading slowly: chance refusals at a lower rate don't lower it.
	peak    float64
	refused float64
	// local counts the requests that the throttle refused itself.
	local float64
	// fresh and resent count the new requests that were offered, and those sent again.
	fresh   float64
	resent  float64
	callers map[string]float64
	// few decides while there are few requests.
	few sparse

	// calm counts the accepted requests since the last refused one, at refusedAt.
	calm       float64
	refusedAt  time.Time
	admittedAt time.Time
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
	t.fade(now)
	own := t.count(o.Caller)
	if o.Resent {
		t.resent++
	} else {
		t.fresh++
	}
	if t.isFew() {
		return t.offerFew(now, random)
	}
	t.few = sparse{} // what a rush showed says nothing about the few requests after it
	part := t.accepted / float64(len(t.callers))
	refusal := t.refusal(now)
	switch {
	case now.Sub(t.admittedAt) >= t.config.ProbeEvery || random.Float64() < t.config.ProbeShare:
	case own <= part:
	case o.Resent && t.refused > spared && random.Float64() < t.resentPart(now)/t.resent:
	case o.Resent && t.refused > spared:
		// Not counted, so that requests sent again don't take the place of new ones.
		t.lastRefusal = Refusal{Reason: RefusedResent, At: now}
		return Verdict{RetryAfter: t.retryAfter(random)}
	case refusal == 0:
	case random.Float64() < min(refusal, 1-part/own):
		t.local++
		t.lastRefusal = Refusal{Reason: RefusedRate, At: now}
		return Verdict{RetryAfter: t.retryAfter(random)}
	}
	t.admittedAt = now
	return Verdict{Admitted: true}
}

// isFew reports whether so few requests came lately that they tell little about the rate that is accepted.
func (t *Throttle) isFew() bool { return t.fresh+t.resent < t.config.FewRequests }

// offerFew decides on one of few requests.
func (t *Throttle) offerFew(now time.Time, random Source) Verdict {
	if random.Float64() < t.few.part(now) {
		t.admittedAt = now
		return Verdict{Admitted: true}
	}
	t.local++
	t.lastRefusal = Refusal{Reason: RefusedRate, At: now}
	return Verdict{RetryAfter: t.retryAfter(random)}
}

// Learn takes in what became of an admitted request.
func (t *Throttle) Learn(now time.Time, r Result) {
	t.fade(now)
	if t.isFew() {
		t.few.learn(now, r)
	}
	switch r {
	case Accepted:
		t.accepted++
		t.peak = max(t.peak, t.accepted)
		t.calm++
	case Refused:
		t.refused++
		t.calm = 0
		t.refusedAt = now
	}
}

// Throttling reports whether requests are being refused.
func (t *Throttle) Throttling(now time.Time) bool {
	t.fade(now)
	return t.refusal(now) > 0
}

// Idle reports whether nothing was counted lately, so that the throttle may be forgotten.
func (t *Throttle) Idle(now time.Time) bool {
	t.fade(now)
	return t.accepted+t.refused+t.local+float64(len(t.callers)) < faded
}

// faded is the count below which nothing is left of one request.
const faded = 0.05

// spared is how many requests in a window are not throttled, so that few requests can't stop each other.
const spared = 1

// refusal is the part of the requests to refuse.
func (t *Throttle) refusal(now time.Time) float64 {
	offered := t.accepted + t.refused + t.local
	if offered == 0 {
		return 0
	}
	return max(0, (offered-spared-t.admissible(now))/offered)
}

// admissible is how many requests may be admitted in the time that the counts hold.
func (t *Throttle) admissible(now time.Time) float64 {
	steps := min(t.calm, float64(now.Sub(t.refusedAt))/float64(t.config.StepTime))
	return min(t.config.Headroom+t.config.HeadroomStep*steps, t.config.MaxHeadroom) * t.peak
}

// resentPart is how many of these may be requests sent again: a bounded part, and what new ones leave.
func (t *Throttle) resentPart(now time.Time) float64 {
	return max(t.config.ResentShare*t.accepted, t.admissible(now)-t.fresh)
}

func (t *Throttle) retryAfter(random Source) time.Duration {
	offered := t.accepted + t.refused + t.local
	wait := time.Duration(float64(t.config.Window) * offered / (t.accepted + 1))
	wait = min(max(wait, t.config.MinRetryAfter), t.config.MaxRetryAfter)
	return time.Duration(float64(wait) * (0.5 + random.Float64()))
}

// count adds one request of the caller and returns its count.
func (t *Throttle) count(caller string) float64 {
	if _, ok := t.callers[caller]; !ok && len(t.callers) >= t.config.MaxCallers {
		caller = otherCallers
	}
	t.callers[caller]++
	return t.callers[caller]
}

// fadeStep is the shortest time after which counts are renewed.
const fadeStep = 5 * time.Millisecond

func (t *Throttle) fade(now time.Time) {
	if t.last.IsZero() {
		t.last = now
		return
	}
	passed := now.Sub(t.last)
	if passed < fadeStep {
		return
	}
	t.last = now
	factor := math.Exp(-float64(passed) / float64(t.config.Window))
	t.accepted *= factor
	t.peak = max(t.accepted, t.peak*math.Exp(-float64(passed)/float64(t.config.PeakLife)))
	t.refused *= factor
	t.local *= factor
	t.fresh *= factor
	t.resent *= factor
	for caller, count := range t.callers {
		if count*factor < faded {
			delete(t.callers, caller)
			continue
		}
		t.callers[caller] = count * factor
	}
}
