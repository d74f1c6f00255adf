package flow

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// failureLife is how long a failed request is known at least, so that sending it again counts as such.
	failureLife = 2 * time.Second
	// maxFailures bounds the failed requests that are known.
	maxFailures = 8192
	// maxThrottles bounds the kinds and ranks that are watched; idle ones are dropped first.
	maxThrottles = 1024
)

// throttleKey names the root requests that are watched together.
type throttleKey struct {
	service string
	kind    string
	rank    int
}

// entry refuses root requests that would be shed further down, before any work is done for them.
type entry struct {
	config throttle.Config

	mu        sync.Mutex
	throttles map[throttleKey]*throttle.Throttle
	failures  *throttle.Failures
}

func newEntry(config throttle.Config) *entry {
	return &entry{
		config:    config,
		throttles: map[throttleKey]*throttle.Throttle{},
		failures:  throttle.NewFailures(failureLife, maxFailures),
	}
}

// offer returns the reply that refuses the request, or reports that it is admitted.
func (e *entry) offer(now time.Time, r *call.Request) (call.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	offer := throttle.Offer{Caller: r.Root.Caller, Resent: e.isResent(now, r)}
	verdict := e.throttle(now, r).Offer(now, globalRandom{}, offer)
	if verdict.Admitted {
		return call.Reply{}, true
	}
	outcome := call.NotRun
	if hasCallersKey(r) {
		outcome = call.NotAdmitted
	}
	return call.Refused(outcome, call.ReasonOverload, verdict.RetryAfter), false
}

// isResent reports whether the caller sends again what failed. Under a caller's key only that counts of which the caller
// was told that it has not run: any other may have an answer to fetch, which costs little.
func (e *entry) isResent(now time.Time, r *call.Request) bool {
	if !e.failures.IsEmpty(now) && e.failures.Take(now, senderFingerprint(r)) {
		return true
	}
	return !hasCallersKey(r) && r.Resends > 0
}

func hasCallersKey(r *call.Request) bool {
	return r.Key != "" && !r.KeyMinted
}

// learn takes in the reply to an admitted request.
func (e *entry) learn(now time.Time, r *call.Request, reply *call.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.throttle(now, r).Learn(now, resultOf(reply))
	mayHaveAnswer := hasCallersKey(r) && reply.Outcome != call.NotRun
	if reply.Failure() != call.ReasonNone && !mayHaveAnswer {
		e.failures.Add(now, senderFingerprint(r))
	}
}

func (e *entry) throttle(now time.Time, r *call.Request) *throttle.Throttle {
	key := throttleKey{service: r.Service, kind: r.Kind, rank: r.Root.Rank}
	t, ok := e.throttles[key]
	if !ok {
		e.dropIdle(now)
		t = throttle.New(e.config)
		e.throttles[key] = t
	}
	return t
}

func (e *entry) dropIdle(now time.Time) {
	if len(e.throttles) < maxThrottles {
		return
	}
	for key, t := range e.throttles {
		if t.Idle(now) {
			delete(e.throttles, key)
		}
	}
}

// resultOf tells what a reply says about overload, here or further down.
func resultOf(reply *call.Reply) throttle.Result {
	switch reply.Cause() {
	case call.ReasonNone:
		return throttle.Accepted
	case call.ReasonOverload, call.ReasonCallsWait, call.ReasonQueueTimeout, call.ReasonBackendShed:
		return throttle.Refused
	}
	return throttle.Neutral
}

// senderFingerprint is the same for a request that its caller sends again.
func senderFingerprint(r *call.Request) uint64 {
	key := ""
	if hasCallersKey(r) {
		key = r.Key
	}
	return hashOf(r, r.Root.Caller, r.Service, r.Method, r.Path, key)
}

// hashOf returns a hash of the parts, which are kept apart, and of the request's body.
func hashOf(r *call.Request, parts ...string) uint64 {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
