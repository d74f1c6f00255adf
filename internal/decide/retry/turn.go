package retry

import "time"

// RequeueBudget is the budget of the further turns at the gate of one backend server. The gate sees all requests for it, so that a part of
// them is a bound for the whole fleet. While many are shed, the most urgent ones get most of the turns: a call of a request that
// makes many, each of which may be shed, is seldom worth one.
type RequeueBudget struct {
	budget   *Budget
	reserved float64
}

// NewRequeueBudget returns a full budget, which each request fills.
func NewRequeueBudget(config BudgetConfig) *RequeueBudget {
	return &RequeueBudget{budget: NewBudget(config), reserved: config.Max * reservedRatio}
}

// reservedRatio of the budget is kept for the most urgent requests.
const reservedRatio = 0.75

// Earn adds what a request earns that came to the gate.
func (t *RequeueBudget) Earn() {
	t.budget.Earn()
}

// Take spends a turn and reports whether there was one.
func (t *RequeueBudget) Take(isMostUrgent bool) bool {
	if isMostUrgent {
		return t.budget.Take()
	}
	return t.budget.TakeAbove(t.reserved)
}

// RequeueCandidate is a request after its turn at the gate of a backend server.
type RequeueCandidate struct {
	// Shed says that the backend server turned it away for want of room.
	Shed bool
	// SafeToRepeat says that running it can't run it twice: it is idempotent, or certainly hasn't run.
	SafeToRepeat bool
	// AttemptsLeft is how many further attempts it may spend.
	AttemptsLeft int
	TimeLeft     time.Duration
	// HoldTime is how long requests lately held their slots; 0 where that isn't known.
	HoldTime time.Duration
}

const (
	// minRequeueDelay and longestTurnPause bound the time before another turn.
	minRequeueDelay = 20 * time.Millisecond
	maxRequeueDelay = 250 * time.Millisecond
)

// DecideRequeue reports whether the request gets another turn at the same gate, and after which time. Other instances shed
// whoever comes while their limits are too high as well; here the urgent go first, under a limit that has just come down. It
// waits for as long as a request holds its slot: by then all those have ended that ran beside it under the old limit.
func DecideRequeue(t RequeueCandidate) (time.Duration, bool) {
	delay := min(max(t.HoldTime, minRequeueDelay), maxRequeueDelay)
	if !t.Shed || !t.SafeToRepeat || t.AttemptsLeft <= 0 || t.TimeLeft <= delay+t.HoldTime {
		return 0, false
	}
	return delay, true
}
