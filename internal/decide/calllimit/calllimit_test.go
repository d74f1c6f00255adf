package calllimit_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/calllimit"
)

// closedLoop simulates requests that each make eight calls, one after the other, to a service with few slots.
type closedLoop struct {
	limits *calllimit.Limits
	slots  int
	now    time.Time
	// active holds the requests in flight, ordered by their start.
	active []*request
	queue  []*request
	busy   int

	done, failed, refused int
}

type request struct {
	start         calllimit.Start
	startedAt     time.Time
	callsLeft     int
	queueingDelay time.Duration
	queuedAt      time.Time
	endsAt        time.Time
	calling       bool
}

const (
	step     = time.Millisecond
	callTime = 50 * time.Millisecond
	ownTime  = 150 * time.Millisecond
	calls    = 8
	// requestTimeout is the duration above which a request fails.
	requestTimeout = 1200 * time.Millisecond
)

// tick advances the simulation by one step in which the given number of requests arrive.
func (c *closedLoop) tick(arrivals int) {
	c.now = c.now.Add(step)
	for range arrivals {
		start, ok := c.limits.Begin(c.now, calllimit.Offer{Kind: "sheet"})
		if !ok {
			c.refused++
			continue
		}
		c.active = append(c.active, &request{start: start, startedAt: c.now, callsLeft: calls, endsAt: c.now.Add(ownTime)})
	}
	var remaining []*request
	for _, r := range c.active {
		if !c.advance(r) {
			remaining = append(remaining, r)
		}
	}
	c.active = remaining
	for c.busy < c.slots && len(c.queue) > 0 {
		r := c.queue[0]
		c.queue = c.queue[1:]
		r.queueingDelay += c.now.Sub(r.queuedAt)
		r.endsAt, r.calling = c.now.Add(callTime), true
		c.busy++
	}
}

// advance moves the request to its next call if it is due, and reports whether the request has ended.
func (c *closedLoop) advance(r *request) bool {
	if r.endsAt.IsZero() || c.now.Before(r.endsAt) {
		return false
	}
	if r.calling {
		c.busy--
		r.calling = false
	}
	took := c.now.Sub(r.startedAt)
	if r.callsLeft == 0 || took > requestTimeout {
		if took > requestTimeout {
			c.failed++
		} else {
			c.done++
		}
		c.limits.End(c.now, r.start, calllimit.Sample{Duration: took, QueueingDelay: r.queueingDelay, Calls: calls})
		return true
	}
	r.callsLeft--
	r.queuedAt, r.endsAt = c.now, time.Time{}
	c.queue = append(c.queue, r)
	return false
}

// A flood of requests whose calls all go to one service at the end of the chain offers three times the capacity of that
// service. Without a limit, nearly all requests time out after most of their work is done.
func TestLimitUnderFloodOfRequestsWithManyCalls(t *testing.T) {
	for name, test := range map[string]struct {
		config  calllimit.Config
		atLeast float64
		atMost  float64
	}{
		"limited":   {calllimit.DefaultConfig, 0.75, 1},
		"unlimited": {calllimit.Config{Initial: 1e6, Min: 1e6, Max: 1e6}, 0, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &closedLoop{limits: calllimit.NewLimits(test.config), slots: 12, now: time.Now()}
			const seconds = 10
			capacity := float64(c.slots) * float64(time.Second) / float64(calls*callTime) * seconds
			for ms := range seconds * 1000 {
				arrivals := 0
				if ms%11 == 0 {
					arrivals = 1
				}
				c.tick(arrivals)
			}
			t.Logf("%d done, %d failed, %d refused, %.0f possible", c.done, c.failed, c.refused, capacity)
			is.True(float64(c.done) >= test.atLeast*capacity)
			is.True(float64(c.done) <= test.atMost*capacity)
		})
	}
}

// Kinds that make no calls are not limited.
func TestKindsWithoutCallsAreNotLimited(t *testing.T) {
	is := is.New(t)
	limits := calllimit.NewLimits(calllimit.DefaultConfig)
	now := time.Now()
	for range 100 {
		start, ok := limits.Begin(now, calllimit.Offer{Kind: "browse"})
		is.True(ok)
		limits.End(now, start, calllimit.Sample{Duration: time.Second})
	}
	for range 100 {
		_, ok := limits.Begin(now, calllimit.Offer{Kind: "browse"})
		is.True(ok)
	}
}

// The deepest service sheds for a while and then recovers suddenly. The earlier refusals must not keep the limit low:
// three seconds after the recovery, 95% of the requests must start again.
func TestLimitRecoversAfterDeepestServiceShed(t *testing.T) {
	for name, perSecond := range map[string]int{
		"busy node":  100,
		"quiet node": 20,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &closedLoop{limits: calllimit.NewLimits(calllimit.DefaultConfig), slots: 100, now: time.Now()}
			every := 1000 / perSecond // milliseconds
			run := func(d time.Duration) {
				c.refused = 0
				for ms := range int(d.Milliseconds()) {
					arrivals := 0
					if ms%every == every-1 {
						arrivals = 1
					}
					c.tick(arrivals)
				}
			}
			run(5 * time.Second)
			every = math.MaxInt // no arrivals until the requests in flight have ended
			run(time.Second)
			every = 1000 / perSecond
			for range 100 {
				c.now = c.now.Add(80 * time.Millisecond)
				if start, ok := c.limits.Begin(c.now, calllimit.Offer{Kind: "sheet"}); ok {
					c.limits.End(c.now, start, calllimit.Sample{Duration: 100 * time.Millisecond, Calls: 2, Refused: true})
				}
			}
			run(3 * time.Second)
			t.Logf("%d refused in the first three seconds", c.refused)
			run(2 * time.Second)
			t.Logf("%d refused in the next two seconds", c.refused)
			is.True(float64(c.refused) <= 0.05*2*float64(perSecond))
		})
	}
}

// After a flood, the limit must recover within seconds.
func TestLimitRecoversAfterFlood(t *testing.T) {
	is := is.New(t)
	limits := calllimit.NewLimits(calllimit.DefaultConfig)
	now := time.Now()
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		start, ok := limits.Begin(now, calllimit.Offer{Kind: "sheet"})
		is.True(ok)
		limits.End(now, start, calllimit.Sample{Duration: 100 * time.Millisecond, QueueingDelay: 90 * time.Millisecond, Calls: 1})
	}
	low, _ := limits.Value("sheet")
	is.True(low < 3)
	var running []calllimit.Start
	for range 500 { // 5 s, the time in which the fleet must recover
		now = now.Add(10 * time.Millisecond)
		for start, ok := limits.Begin(now, calllimit.Offer{Kind: "sheet"}); ok; start, ok = limits.Begin(now, calllimit.Offer{Kind: "sheet"}) {
			running = append(running, start)
		}
		ended := (len(running) + 9) / 10 // each takes 100 ms
		for _, start := range running[:ended] {
			limits.End(now, start, calllimit.Sample{Duration: 100 * time.Millisecond, Calls: 1})
		}
		running = running[ended:]
	}
	high, _ := limits.Value("sheet")
	is.True(high >= calllimit.DefaultConfig.Initial)
}

// All availability zones are overloaded and spill requests to each other. Local requests take precedence, so that zones
// don't just exchange requests; free capacity is open to spilled ones.
func TestLocalRequestsBeforeSpilledOnes(t *testing.T) {
	for name, test := range map[string]struct {
		own         int
		least, most int
	}{
		"filled by local ones": {40, 0, 0},
		"half free":            {10, 5, 6},
		"all free":             {0, 16, 16},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := calllimit.DefaultConfig
			config.Initial, config.SpilledRatio = 20, 0.8
			limits := calllimit.NewLimits(config)
			now := time.Now()
			for range test.own {
				limits.Begin(now, calllimit.Offer{Kind: "sheet"})
			}
			spilled := 0
			for range 40 {
				if _, ok := limits.Begin(now, calllimit.Offer{Kind: "sheet", Spilled: true}); ok {
					spilled++
				}
			}
			is.True(spilled >= test.least)
			is.True(spilled <= test.most)
		})
	}
}
