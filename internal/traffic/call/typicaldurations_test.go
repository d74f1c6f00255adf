package call_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// Nearly all requests must end within the longest duration of their kind, and it must not be far above that.
func TestLongestDurationCoversNearlyAll(t *testing.T) {
	for name, test := range map[string]struct {
		duration func(random *rand.Rand) time.Duration
		most     time.Duration
	}{
		"constant": {func(*rand.Rand) time.Duration { return 100 * time.Millisecond }, 150 * time.Millisecond},
		"uniform":  {func(r *rand.Rand) time.Duration { return time.Duration(r.IntN(200)) * time.Millisecond }, 500 * time.Millisecond},
		"exponential": {func(r *rand.Rand) time.Duration {
			return time.Duration(100 * r.ExpFloat64() * float64(time.Millisecond))
		}, time.Second},
		"one of five queued": {func(r *rand.Rand) time.Duration { return time.Duration(100+400*(r.IntN(5)/4)) * time.Millisecond }, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			d := call.NewTypicalDurations[string](0)
			is.Equal(d.Longest("keys"), time.Duration(0))
			const requests, warmUp = 1000, 50
			late := 0
			for n := range requests + warmUp {
				duration := test.duration(random)
				if n >= warmUp && duration > d.Longest("keys") {
					late++
				}
				d.Observe("keys", duration)
			}
			t.Log(late, d.Longest("keys"))
			is.True(late <= requests/20)
			is.True(d.Longest("keys") <= test.most)
		})
	}
}

// Guards against a longest duration that leaves out what a kind takes seldom, but again and again, and against one that stays for
// good after a single long request.
func TestLongestDurationIncludesRareOnes(t *testing.T) {
	const usual, rare = 30 * time.Millisecond, 700 * time.Millisecond
	is := is.New(t)
	d := call.NewTypicalDurations[string](0)
	observe := func(requests, rareEvery int) {
		for n := range requests {
			duration := usual
			if n%rareEvery == 0 {
				duration = rare
			}
			d.Observe("charges", duration)
			is.True(d.Longest("charges") >= rare)
		}
	}
	observe(2000, 20)
	observe(2000, 400)
	for range 1000 {
		d.Observe("charges", usual)
	}
	is.True(d.Longest("charges") < 2*usual)
}
