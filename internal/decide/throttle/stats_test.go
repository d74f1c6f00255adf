package throttle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
)

func TestThrottleReasons(t *testing.T) {
	is := is.New(t)
	throttled := throttle.New(throttle.DefaultConfig)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_000_000, 0)
	is.Equal(throttled.Stats(now), throttle.Stats{Reason: throttle.AdmitsAll})

	// One of ten requests is accepted downstream.
	var below time.Time
	refused := false
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		verdict := throttled.Offer(now, random, throttle.Offer{Caller: "archive", Resent: i%2 == 0})
		if !verdict.Admitted {
			refused = true
			continue
		}
		result := throttle.Refused
		if i%10 == 0 {
			result = throttle.Accepted
		} else {
			below = now
		}
		throttled.Observe(now, result)
	}
	is.True(refused)
	s := throttled.Stats(now)
	is.Equal(s.Reason, throttle.AcceptedIsLess)
	is.True(s.RefusedRatio > 0 && s.RefusedRatio <= 1)
	is.Equal(s.LastBelow, below)
	is.True(!s.LastHere.At.IsZero())
	_, catalogued := throttle.Reasons[s.LastHere.Reason]
	is.True(catalogued)

	is.Equal(throttled.Stats(now.Add(time.Minute)).Reason, throttle.AdmitsAll) // the counts have decayed
}
