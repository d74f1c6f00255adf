package admission

import (
	"math"
	"time"
)

// RateStatement is what a response of the backend server says about the rate limit of the backend server.
type RateStatement struct {
	// PerSecond is the limit in requests per second. It is valid if IsLimited is true.
	PerSecond float64
	IsLimited bool
	// SentAt is when the request was sent, and ReceivedAt when the response arrived.
	SentAt, ReceivedAt time.Time
}

const (
	// minRate is the lowest rate in requests per second at which requests start. Without any request, the gate would
	// not learn that the backend server accepts requests again.
	minRate = 0.5
	// burstTime is the time whose requests may start at once after a pause.
	burstTime = 250 * time.Millisecond
	// firstBurst is the number of requests that may start at once before the first response of a backend server.
	firstBurst = 2
)

// rateLimit limits the number of requests that start per second. It is a token bucket with the limit that the backend
// server states. Until the first response of a backend server, which may state a limit, it has a low limit of its own.
type rateLimit struct {
	// beforeFirst is the limit until the first response; 0 means none.
	beforeFirst float64
	// perSecond is the limit in force; 0 means none. isStated reports whether the backend server stated it.
	perSecond float64
	isStated  bool
	burst     float64
	tokens    float64
	updatedAt time.Time
	// statedAt is when the last response that stated a limit arrived.
	statedAt time.Time
}

// newRateLimit returns the limit of a backend server that has not responded yet.
func newRateLimit(beforeFirst float64) rateLimit {
	return rateLimit{beforeFirst: beforeFirst, perSecond: beforeFirst, burst: firstBurst, tokens: firstBurst}
}

// observe applies the statement in a response. A response without a limit ends the limit only if its request was sent
// after a limit was last stated, because responses may arrive out of order.
func (l *rateLimit) observe(now time.Time, s RateStatement) {
	if !s.IsLimited {
		if l.isStated && !s.SentAt.After(l.statedAt) {
			return
		}
		l.perSecond, l.isStated = 0, false
		return
	}
	l.refill(now)
	if l.perSecond == 0 {
		l.tokens = 0 // more requests than the limit allows have just started
	}
	l.perSecond, l.isStated = math.Max(s.PerSecond, minRate), true
	l.burst = math.Max(l.perSecond*burstTime.Seconds(), 1)
	l.tokens = math.Min(l.tokens, l.burst)
	if s.ReceivedAt.After(l.statedAt) {
		l.statedAt = s.ReceivedAt
	}
}

// refill adds the tokens of the time since the last call.
func (l *rateLimit) refill(now time.Time) {
	if now.After(l.updatedAt) && !l.updatedAt.IsZero() {
		l.tokens = math.Min(l.tokens+l.perSecond*now.Sub(l.updatedAt).Seconds(), l.burst)
	}
	l.updatedAt = now
}

// allows reports whether a request may start now.
func (l *rateLimit) allows(now time.Time) bool {
	if l.perSecond == 0 {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// take counts a request that starts.
func (l *rateLimit) take(now time.Time) {
	if l.perSecond == 0 {
		return
	}
	l.refill(now)
	l.tokens--
}

// giveBack undoes take for a request that was not sent.
func (l *rateLimit) giveBack() {
	l.tokens = math.Min(l.tokens+1, l.burst)
}

// stated returns the limit that the backend server states; 0 means none.
func (l *rateLimit) stated() float64 {
	if !l.isStated {
		return 0
	}
	return l.perSecond
}

// interval returns the mean time between two starts at the stated limit; 0 without one.
func (l *rateLimit) interval() time.Duration {
	if !l.isStated {
		return 0
	}
	return time.Duration(float64(time.Second) / l.perSecond)
}
