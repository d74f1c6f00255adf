package throttle_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
)

// downstream simulates the services behind the entry node: it accepts perSecond requests a second and replies after a
// delay.
type downstream struct {
	perSecond float64
	// refuseEvery is the number of requests of which one is refused regardless of the rate; 0 means none.
	refuseEvery int
	received    int
	tokens      float64
	pending     []reply
}

type reply struct {
	at     time.Time
	result throttle.Result
}

const (
	step  = time.Millisecond
	delay = 60 * time.Millisecond
)

func (c *downstream) take(now time.Time) bool {
	result := throttle.Refused
	c.received++
	if c.tokens >= 1 && (c.refuseEvery == 0 || c.received%c.refuseEvery > 0) {
		c.tokens--
		result = throttle.Accepted
	}
	c.pending = append(c.pending, reply{now.Add(delay), result})
	return result == throttle.Accepted
}

func (c *downstream) advance(now time.Time, t *throttle.Throttle) {
	c.tokens = min(c.tokens+c.perSecond*step.Seconds(), 10)
	for len(c.pending) > 0 && !now.Before(c.pending[0].at) {
		t.Observe(now, c.pending[0].result)
		c.pending = c.pending[1:]
	}
}

// counts holds the results of the requests of one source of load.
type counts struct {
	offered  int
	admitted int
	good     int
}

// drive offers the requests of all sources for the duration d, at most one of each source in a step.
func drive(t *throttle.Throttle, c *downstream, start time.Time, d time.Duration, sources map[string]source) map[string]counts {
	random := rand.New(rand.NewPCG(1, 1))
	sums := map[string]counts{}
	for now := start; now.Before(start.Add(d)); now = now.Add(step) {
		c.advance(now, t)
		for _, name := range slices.Sorted(maps.Keys(sources)) {
			s, sum := sources[name], sums[name]
			if random.Float64() < s.perSecond*step.Seconds() {
				sum.offered++
				if t.Offer(now, random, throttle.Offer{Caller: name, Resent: s.resent}).Admitted {
					sum.admitted++
					if c.take(now) {
						sum.good++
					}
				}
			}
			sums[name] = sum
		}
	}
	return sums
}

type source struct {
	perSecond float64
	resent    bool
}

var start = time.Unix(1_000_000, 0)

func TestAdmitsWhatIsAccepted(t *testing.T) {
	for _, perSecond := range []float64{40, 100, 300} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			is := is.New(t)
			th, c := throttle.New(throttle.DefaultConfig), &downstream{perSecond: perSecond}
			drive(th, c, start, time.Second, map[string]source{"a": {perSecond: 900}})
			sum := drive(th, c, start.Add(time.Second), 4*time.Second, map[string]source{"a": {perSecond: 900}})["a"]
			is.True(float64(sum.good) >= 0.9*4*perSecond)     // goodput stays near the capacity
			is.True(float64(sum.admitted) <= 1.5*4*perSecond) // and little work is wasted
		})
	}
}

// Many nodes with few requests each must together admit no more than a single node with all requests.
func TestManyNodesAdmitWhatIsAccepted(t *testing.T) {
	for name, test := range map[string]struct {
		nodes                  int
		offeredEach, perSecond float64
	}{
		"10 with 90 a second":    {10, 90, 300},
		"100 with 9 a second":    {100, 9, 300},
		"300 with 3 a second":    {300, 3, 300},
		"300 where fewer can be": {300, 3, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &downstream{perSecond: test.perSecond}
			nodes := make([]*throttle.Throttle, test.nodes)
			for i := range nodes {
				nodes[i] = throttle.New(throttle.DefaultConfig)
			}
			driveAll(nodes, c, start, time.Second, test.offeredEach)
			sum := driveAll(nodes, c, start.Add(time.Second), 4*time.Second, test.offeredEach)
			t.Logf("%d admitted, %d good, of %.0f possible", sum.admitted, sum.good, 4*test.perSecond)
			is.True(float64(sum.good) >= 0.9*4*test.perSecond)
			is.True(float64(sum.admitted) <= 1.5*4*test.perSecond) // the same limit as for one node
		})
	}
}

// driveAll offers requests of one caller to each node for the duration d.
func driveAll(nodes []*throttle.Throttle, c *downstream, start time.Time, d time.Duration, perSecond float64) counts {
	random := rand.New(rand.NewPCG(1, 1))
	var sum counts
	var senders []*throttle.Throttle
	c.pending = nil
	for now := start; now.Before(start.Add(d)); now = now.Add(step) {
		c.tokens = min(c.tokens+c.perSecond*step.Seconds(), 10)
		for len(c.pending) > 0 && !now.Before(c.pending[0].at) {
			senders[0].Observe(now, c.pending[0].result)
			c.pending, senders = c.pending[1:], senders[1:]
		}
		for _, node := range nodes {
			if random.Float64() >= perSecond*step.Seconds() {
				continue
			}
			sum.offered++
			if !node.Offer(now, random, throttle.Offer{Caller: "a"}).Admitted {
				continue
			}
			sum.admitted++
			senders = append(senders, node)
			if c.take(now) {
				sum.good++
			}
		}
	}
	return sum
}

func TestRandomRefusalsDoNotThrottle(t *testing.T) {
	is := is.New(t)
	th, c := throttle.New(throttle.DefaultConfig), &downstream{perSecond: 1000, refuseEvery: 10}
	sum := drive(th, c, start, 10*time.Second, map[string]source{"a": {perSecond: 400}})["a"]
	possible := 0.9 * float64(sum.offered)
	is.True(float64(sum.good) >= 0.9*possible)
}

func TestRecovers(t *testing.T) {
	is := is.New(t)
	th, c := throttle.New(throttle.DefaultConfig), &downstream{perSecond: 5}
	drive(th, c, start, 5*time.Second, map[string]source{"a": {perSecond: 500}})
	c.perSecond = 1000
	drive(th, c, start.Add(5*time.Second), 2*time.Second, map[string]source{"a": {perSecond: 500}})
	sum := drive(th, c, start.Add(7*time.Second), time.Second, map[string]source{"a": {perSecond: 500}})["a"]
	is.Equal(sum.admitted, sum.offered) // 2 s after the end of a collapse to a hundredth of the offered load
}

// Refusals under a high rate must not affect a low rate of requests that follows.
func TestLowRateAfterFloodIsAdmitted(t *testing.T) {
	const pause = time.Second // without requests, between the flood and the low rate
	for name, perSecond := range map[string]float64{
		"at half of the capacity":    20,
		"at a tenth of the capacity": 4,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			th, c := throttle.New(throttle.DefaultConfig), &downstream{perSecond: 40}
			drive(th, c, start, 3*time.Second, map[string]source{"crowd": {perSecond: 200}})
			after := start.Add(3*time.Second + pause)
			sum := drive(th, c, after, 2*time.Second, map[string]source{"later": {perSecond: perSecond}})["later"]
			is.Equal(sum.admitted, sum.offered)
		})
	}
}

func TestCallersBelowEqualShareAreAdmitted(t *testing.T) {
	is := is.New(t)
	th, c := throttle.New(throttle.DefaultConfig), &downstream{perSecond: 100}
	sources := map[string]source{"heavy": {perSecond: 800}, "light": {perSecond: 30}}
	drive(th, c, start, time.Second, sources)
	light := drive(th, c, start.Add(time.Second), 4*time.Second, sources)["light"]
	is.True(float64(light.admitted) >= 0.9*float64(light.offered))
}

func TestResentRequestsAreLimited(t *testing.T) {
	is := is.New(t)
	th, c := throttle.New(throttle.DefaultConfig), &downstream{perSecond: 100}
	sources := map[string]source{"first": {perSecond: 200}, "resent": {perSecond: 700, resent: true}}
	drive(th, c, start, time.Second, sources)
	sums := drive(th, c, start.Add(time.Second), 4*time.Second, sources)
	admitted := sums["first"].admitted + sums["resent"].admitted
	is.True(float64(sums["first"].good+sums["resent"].good) >= 0.9*4*100)
	is.True(float64(sums["resent"].admitted) <= 0.3*float64(admitted))
	is.True(sums["resent"].admitted > 0)
}

// Requests that count as sent again get the capacity that new requests leave unused, even if there are no new requests.
func TestResentRequestsGetUnusedCapacity(t *testing.T) {
	for name, sources := range map[string]map[string]source{
		"few new requests": {"first": {perSecond: 30}, "resent": {perSecond: 700, resent: true}},
		"no new requests":  {"resent": {perSecond: 700, resent: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			th, c := throttle.New(throttle.DefaultConfig), &downstream{perSecond: 100}
			drive(th, c, start, time.Second, sources)
			sums := drive(th, c, start.Add(time.Second), 4*time.Second, sources)
			good, admitted := sums["first"].good+sums["resent"].good, sums["first"].admitted+sums["resent"].admitted
			t.Logf("%d good, %d admitted, %+v", good, admitted, sums)
			is.True(float64(good) >= 0.9*4*100)     // goodput stays near the capacity
			is.True(float64(admitted) <= 1.5*4*100) // and little work is wasted
			is.True(float64(sums["first"].admitted) >= 0.9*float64(sums["first"].offered))
		})
	}
}

func TestFailures(t *testing.T) {
	is := is.New(t)
	f := throttle.NewFailures(time.Second, 10)
	f.Add(start, 1)
	f.Add(start, 1)
	is.True(f.Take(start, 1))
	is.True(f.Take(start.Add(1100*time.Millisecond), 1))
	is.True(!f.Take(start.Add(1100*time.Millisecond), 1)) // both failures are used up
	f.Add(start, 1)
	is.True(!f.Take(start.Add(4*time.Second), 1))
	f.Add(start, 1)
	for i := range uint64(1000) {
		f.Add(start, 10+i)
	}
	is.True(!f.Take(start, 1)) // the number of entries is limited
	is.True(f.Take(start, 1009))
}
