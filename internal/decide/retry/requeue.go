package retry

import "time"

// RequeueBudget is the requeue budget of the gate of one backend server. The gate handles all requests for the backend
// server, so a budget that is a fraction of these requests limits the requeues of the whole fleet. Most of the budget is
// reserved for the most urgent requests: while many requests are shed, requeueing is seldom worthwhile for a call of a
// request that makes many calls, because each of them may be shed.
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

// RequeueCandidate describes a request to which the backend server has responded.
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

// DecideRequeue reports whether the request is offered to the same gate again, and after which delay. Another instance
// whose limit is too high as well would shed the request regardless of its rank. The gate of the backend server that has
// just shed it, by contrast, has lowered its limit and starts urgent requests first. The delay is the hold time of a
// request, between minRequeueDelay and maxRequeueDelay: after it, the requests that were started under the old limit have
// ended.
func DecideRequeue(c RequeueCandidate) (time.Duration, bool) {
	delay := min(max(c.HoldTime, minRequeueDelay), maxRequeueDelay)
	if !c.Shed || !c.SafeToRepeat || c.AttemptsLeft <= 0 || c.TimeLeft <= delay+c.HoldTime {
		return 0, false
	}
	return delay, true
}
