package flow

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/throttle"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

const (
	// failureRetention is the minimum time for which a failed request is remembered. If the caller sends it again within
	// this time, it counts as resent.
	failureRetention = 2 * time.Second
	// maxFailures limits the number of remembered failed requests.
	maxFailures = 8192
	// maxThrottles is the number of throttles from which idle ones are dropped before another is added.
	maxThrottles = 1024
)

// throttleKey identifies the root requests that share a throttle.
type throttleKey struct {
	service string
	kind    string
	rank    int
}

// entryThrottles holds the throttles of this entry node. They refuse root requests that would be shed further down their
// call chain, before any work is done for them.
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

// admit reports whether the request is admitted. If not, it returns the reply that refuses it.
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

// isResent reports whether the caller has sent the request before and it failed. A request with a key from its caller
// counts only if its caller got the outcome not_run. Otherwise a remembered reply may exist, and returning it costs
// little.
func (e *entryThrottles) isResent(now time.Time, r *call.Request) bool {
	if !e.failures.IsEmpty(now) && e.failures.Take(now, resendFingerprint(r)) {
		return true
	}
	return !hasCallerKey(r) && r.Resends > 0
}

func hasCallerKey(r *call.Request) bool {
	return r.Key != "" && !r.KeyMinted
}

// observe updates the throttle with the reply to an admitted request, and remembers the request if it failed.
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

// throttleResult returns whether a reply indicates overload, on this node or further down the call chain.
func throttleResult(reply *call.Reply) throttle.Result {
	switch reply.Cause() {
	case call.ReasonNone:
		return throttle.Accepted
	case call.ReasonOverload, call.ReasonCallsWait, call.ReasonQueueTimeout, call.ReasonBackendShed:
		return throttle.Refused
	}
	return throttle.Neutral
}

// resendFingerprint returns a hash that is equal for all copies of a request that its caller sends.
func resendFingerprint(r *call.Request) uint64 {
	key := ""
	if hasCallerKey(r) {
		key = r.Key
	}
	return hashRequest(r, r.Root.Caller, r.Service, r.Method, r.Path, key)
}

// hashRequest returns a hash of the parts and the body of the request. A zero byte after each part keeps
// ("ab", "c") and ("a", "bc") distinct.
func hashRequest(r *call.Request, parts ...string) uint64 {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
