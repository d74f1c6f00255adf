package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// rateGate returns a gate with many slots whose backend server has responded with the rate limit; 0 means none.
func rateGate(perSecond float64) *admission.Gate {
	config := testConfig()
	config.Limit.Fixed = true
	config.RateBeforeFirstResponse = 4
	gate := admission.NewGate(config)
	gate.Announce(64, 200)
	gate.ObserveRate(epoch, admission.RateStatement{PerSecond: perSecond, IsLimited: perSecond > 0, SentAt: epoch, ReceivedAt: epoch})
	return gate
}

// startsOf offers a request of each rank every interval for the duration, and returns the starts by rank. Each request
// runs for 100 ms.
func startsOf(gate *admission.Gate, from time.Time, duration, interval time.Duration, ranks ...int) map[int][]time.Time {
	starts := map[int][]time.Time{}
	var ends []time.Time
	begin := func(now time.Time, t *admission.Ticket) {
		starts[t.Rank] = append(starts[t.Rank], now)
		ends = append(ends, now.Add(100*time.Millisecond))
	}
	for now := from; now.Before(from.Add(duration)); now = now.Add(interval) {
		for len(ends) > 0 && !now.Before(ends[0]) {
			ends = ends[1:]
			for _, t := range gate.Finish(now, admission.Sample{Kind: "sheet", ServiceTime: 100 * time.Millisecond, HoldTime: 100 * time.Millisecond}).Run {
				begin(now, t)
			}
		}
		for _, t := range gate.Advance(now).Run {
			begin(now, t)
		}
		for _, rank := range ranks {
			if t := newTicket(now, rank, "sheet", "crew"); gate.Offer(now, t).Action == admission.Run {
				begin(now, t)
			}
		}
	}
	for ended := from.Add(duration + time.Second); gate.InFlight() > 0; { // by then, queued requests have expired
		gate.Finish(ended, admission.Sample{Kind: "sheet", ServiceTime: 100 * time.Millisecond, HoldTime: 100 * time.Millisecond})
	}
	return starts
}

// Guards against a backend server that states a rate limit and gets more requests in a few seconds than that, or hardly
// any: slots, queue and bursts don't matter.
func TestRateLimitBoundsStarts(t *testing.T) {
	const window = 4 * time.Second
	for name, perSecond := range map[string]float64{"0.5 a second": 0.5, "3 a second": 3, "9.17 a second": 9.17, "200 a second": 200} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := len(startsOf(rateGate(perSecond), epoch, window, time.Millisecond, 1)[1])
			is.True(float64(got) <= perSecond*window.Seconds()*1.1+1)
			is.True(float64(got) >= perSecond*window.Seconds()*0.8-1)
		})
	}
}

// Guards against a limit of 0 that never ends because no request is left whose response could end it.
func TestRateLimitOfZeroStillProbes(t *testing.T) {
	is := is.New(t)
	gate := rateGate(0)
	gate.ObserveRate(epoch, admission.RateStatement{IsLimited: true, SentAt: epoch, ReceivedAt: epoch})
	got := len(startsOf(gate, epoch, 4*time.Second, time.Millisecond, 1)[1])
	is.True(got >= 1 && got <= 3)
}

// Guards against urgent work that waits behind less urgent work when a rate limit leaves room for one of them.
func TestRateLimitServesUrgentWorkFirst(t *testing.T) {
	is := is.New(t)
	starts := startsOf(rateGate(10), epoch, 4*time.Second, 50*time.Millisecond, 3, 0)
	is.True(len(starts[0]) >= 9*len(starts[3]))
}

// Guards against a restarted backend server, or one beside a restarted node, that gets a burst before it can state its
// limit.
func TestFewRequestsStartBeforeTheFirstResponse(t *testing.T) {
	is := is.New(t)
	gate := rateGate(0)
	is.True(len(startsOf(gate, epoch, time.Second, time.Millisecond, 1)[1]) > 100)
	gate.Restarted()
	restarted := epoch.Add(10 * time.Second)
	is.True(len(startsOf(gate, restarted, time.Second, time.Millisecond, 1)[1]) <= 6)
	responded := epoch.Add(20 * time.Second)
	gate.ObserveRate(responded, admission.RateStatement{SentAt: restarted, ReceivedAt: responded})
	is.True(len(startsOf(gate, responded, time.Second, time.Millisecond, 1)[1]) > 100)
}

// Guards against a limit that ends because of a response that was made before it began, and against one that doesn't end.
func TestRateLimitEndsWithALaterRequest(t *testing.T) {
	is := is.New(t)
	gate := rateGate(5)
	stated := epoch.Add(time.Second)
	gate.ObserveRate(stated, admission.RateStatement{PerSecond: 5, IsLimited: true, SentAt: epoch, ReceivedAt: stated})
	gate.ObserveRate(stated, admission.RateStatement{SentAt: epoch.Add(500 * time.Millisecond), ReceivedAt: stated.Add(time.Millisecond)})
	is.Equal(gate.RateLimit(), 5.0)
	gate.ObserveRate(stated, admission.RateStatement{SentAt: stated.Add(time.Millisecond), ReceivedAt: stated.Add(time.Second)})
	is.Equal(gate.RateLimit(), 0.0)
}

// Guards against a Retry-After that ignores the rate limit, so that refused requests return before there is room.
func TestRetryAfterFollowsTheRateLimit(t *testing.T) {
	is := is.New(t)
	gate := rateGate(2)
	startsOf(gate, epoch, 2*time.Second, 100*time.Millisecond, 1)
	is.True(gate.RetryAfter(1) >= 500*time.Millisecond) // one start every 500 ms
}
