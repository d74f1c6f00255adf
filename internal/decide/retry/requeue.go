package retry

import "time"

// RequeueBudget is the requeue budget of the gate of one backend server. The gate handles all requests for the backend
// server, so a fraction of these requests is a limit for the whole fleet. Most of the budget is reserved for the most
// urgent requests: while many requests are shed, requeueing is seldom worthwhile for a call of a request that makes many
// calls, each of which may be shed.
type RequeueBudget struct {
	budget   *Budget
	reserved float64
}

// NewRequeueBudget returns a full budget. Each request replenishes it.
func NewRequeueBudget(config BudgetConfig) *RequeueBudget {
	return &RequeueBudget{budget: NewBudget(config), reserved: config.Max * reservedRatio}
}

// reservedRatio is the fraction of the budget's capacity that is reserved for the most urgent requests.
const reservedRatio = 0.75

// Earn credits one request that arrived at the gate.
func (b *RequeueBudget) Earn() {
	b.budget.Earn()
}

// Take spends one requeue and reports whether one was left.
func (b *RequeueBudget) Take(isMostUrgent bool) bool {
	if isMostUrgent {
		return b.budget.Take()
	}
	return b.budget.TakeAbove(b.reserved)
}

// RequeueCandidate describes a request that the backend server has answered.
type RequeueCandidate struct {
	// Shed reports whether the backend server refused the request because of overload.
	Shed bool
	// SafeToRepeat reports whether the request is idempotent or certainly did not run, so that it can't run twice.
	SafeToRepeat bool
	// AttemptsLeft is the number of further attempts that the request may use.
	AttemptsLeft int
	TimeLeft     time.Duration
	// HoldTime is the recent mean time for which requests held their slots; 0 if unknown.
	HoldTime time.Duration
}

const (
	// minRequeueDelay and maxRequeueDelay bound the delay before a request is requeued.
	minRequeueDelay = 20 * time.Millisecond
	maxRequeueDelay = 250 * time.Millisecond
)

// DecideRequeue returns the delay after which the request is offered to the same gate again, and whether it is. Other
// instances whose limits are too high as well shed requests regardless of rank. This gate, whose limit has just been
// lowered, starts urgent requests first. The delay is the hold time of a request, within limits: by then, all requests that were started
// under the old limit have ended.
func DecideRequeue(t RequeueCandidate) (time.Duration, bool) {
	delay := min(max(t.HoldTime, minRequeueDelay), maxRequeueDelay)
	if !t.Shed || !t.SafeToRepeat || t.AttemptsLeft <= 0 || t.TimeLeft <= delay+t.HoldTime {
		return 0, false
	}
	return delay, true
}
