package flow

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// failureRetention is how long a failed request is known at least, so that sending it again counts as such.
	failureRetention = 2 * time.Second
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

// entryThrottles refuses root requests that would be shed further down, before any work is done for them.
type entryThrottles struct {
	config throttle.Config

	mu       sync.Mutex
	byKey    map[throttleKey]*throttle.Throttle
	failures *throttle.Failures
}

func newEntryThrottles(config throttle.Config) *entryThrottles {
	return &entryThrottles{
		config:   config,
		byKey:    map[throttleKey]*throttle.Throttle{},
		failures: throttle.NewFailures(failureRetention, maxFailures),
	}
}

// admit returns the reply that refuses the request, or reports that it is admitted.
func (e *entryThrottles) admit(now time.Time, r *call.Request) (call.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	offer := throttle.Offer{Caller: r.Root.Caller, Resent: e.isResent(now, r)}
	verdict := e.throttleFor(now, r).Offer(now, globalRandom{}, offer)
	if verdict.Admitted {
		return call.Reply{}, true
	}
	outcome := call.NotRun
	if hasCallerKey(r) {
		outcome = call.NotAdmitted
	}
	return call.Refused(outcome, call.ReasonOverload, verdict.RetryAfter), false
}

// isResent reports whether the caller sends again what failed. Under a caller's key only that counts of which the caller
// was told that it has not run: any other may have an answer to fetch, which costs little.
func (e *entryThrottles) isResent(now time.Time, r *call.Request) bool {
	if !e.failures.IsEmpty(now) && e.failures.Take(now, resendFingerprint(r)) {
		return true
	}
	return !hasCallerKey(r) && r.Resends > 0
}

func hasCallerKey(r *call.Request) bool {
	return r.Key != "" && !r.KeyMinted
}

// observe takes in the reply to an admitted request.
func (e *entryThrottles) observe(now time.Time, r *call.Request, reply *call.Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.throttleFor(now, r).Observe(now, throttleResult(reply))
	mayHaveReply := hasCallerKey(r) && reply.Outcome != call.NotRun
	if reply.Failure() != call.ReasonNone && !mayHaveReply {
		e.failures.Add(now, resendFingerprint(r))
	}
}

func (e *entryThrottles) throttleFor(now time.Time, r *call.Request) *throttle.Throttle {
	key := throttleKey{service: r.Service, kind: r.Kind, rank: r.Root.Rank}
	t, ok := e.byKey[key]
	if !ok {
		e.dropIdle(now)
		t = throttle.New(e.config)
		e.byKey[key] = t
	}
	return t
}

func (e *entryThrottles) dropIdle(now time.Time) {
	if len(e.byKey) < maxThrottles {
		return
	}
	for key, t := range e.byKey {
		if t.IsIdle(now) {
			delete(e.byKey, key)
		}
	}
}

// throttleResult tells what a reply says about overload, here or further down.
func throttleResult(reply *call.Reply) throttle.Result {
	switch reply.Cause() {
	case call.ReasonNone:
		return throttle.Accepted
	case call.ReasonOverload, call.ReasonCallsWait, call.ReasonQueueTimeout, call.ReasonBackendShed:
		return throttle.Refused
	}
	return throttle.Neutral
}

// resendFingerprint is the same for a request that its caller sends again.
func resendFingerprint(r *call.Request) uint64 {
	key := ""
	if hasCallerKey(r) {
		key = r.Key
	}
	return hashRequest(r, r.Root.Caller, r.Service, r.Method, r.Path, key)
}

// hashRequest returns a hash of the parts, which are kept apart, and of the request's body.
func hashRequest(r *call.Request, parts ...string) uint64 {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
