package retry

import "time"

// Turns is the budget of the further turns at the gate of one backend server. The gate sees all requests for it, so that a part of
// them is a bound for the whole fleet. While many are shed, the most urgent ones get most of the turns: a call of a request that
// makes many, each of which may be shed, is seldom worth one.
type Turns struct {
	budget *Budget
	kept   float64
}

// NewTurns returns a full budget, which each request fills.
func NewTurns(config BudgetConfig) *Turns {
	return &Turns{budget: NewBudget(config), kept: config.Max * keptPart}
}

// keptPart of the budget is kept for the most urgent requests.
const keptPart = 0.75

// Came adds what a request earns that came to the gate.
func (t *Turns) Came() {
	t.budget.Earn()
}

// Take spends a turn and reports whether there was one.
func (t *Turns) Take(isMostUrgent bool) bool {
	if isMostUrgent {
		return t.budget.Take()
	}
	return t.budget.TakeAbove(t.kept)
}

// Turn is a request after its turn at the gate of a backend server.
type Turn struct {
	// Shed says that the backend server turned it away for want of room.
	Shed bool
	// Safe says that running it can't run it twice: it is idempotent, or certainly hasn't run.
	Safe bool
	// AttemptsLeft is how many further attempts it may spend.
	AttemptsLeft int
	TimeLeft     time.Duration
	// HoldTime is how long requests lately held their slots; 0 where that isn't known.
	HoldTime time.Duration
}

const (
	// leastTurnPause and longestTurnPause bound the time before another turn.
	leastTurnPause   = 20 * time.Millisecond
	longestTurnPause = 250 * time.Millisecond
)

// TurnAgain reports whether the request gets another turn at the same gate, and after which time. Other instances shed
// whoever comes while their limits are too high as well; here the urgent go first, under a limit that has just come down. It
// waits for as long as a request holds its slot: by then all those have ended that ran beside it under the old limit.
func TurnAgain(t Turn) (time.Duration, bool) {
	wait := min(max(t.HoldTime, leastTurnPause), longestTurnPause)
	if !t.Shed || !t.Safe || t.AttemptsLeft <= 0 || t.TimeLeft <= wait+t.HoldTime {
		return 0, false
	}
	return wait, true
}
