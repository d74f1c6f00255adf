// Package retry decides whether a request may be tried again.
//
// Two bounds hold at once: the attempts that the root request carries down its whole chain, and a budget for each
// service that only successes fill. A reply marked final, an outcome that leaves it open whether a non-idempotent
// request ran, and a spent deadline forbid another attempt.
//
// # Usage
//
//	if budget.Take() && attemptsLeft > 0 { ... }
//
// The package does no I/O and reads no clock.
package retry

import "time"

// Verdict says what to do after a failed attempt.
type Verdict int

// The verdicts.
const (
	// GiveUp passes the reply up.
	GiveUp Verdict = iota
	// Retry sends the request to another instance.
	Retry
)

// Attempt is what is known after a failed attempt.
type Attempt struct {
	Idempotent bool
	// Started says that the backend server may have begun the request.
	Started bool
	// Final is the mark of the reply.
	Final bool
	// FailedDownstream says that the failure came from further down the chain, where the node next to it has decided.
	FailedDownstream bool
	AttemptsLeft     int
	TimeLeft         time.Duration
	// Candidates is how many instances have not been tried.
	Candidates int
}

// MinTimeLeft is the least time before the deadline in which another attempt makes sense.
const MinTimeLeft = 2 * time.Millisecond

// Decide applies the rules to a failed attempt and charges the budget where the answer is TryAgain.
func Decide(a Attempt, b *Budget) Verdict {
	if a.Final || a.FailedDownstream || a.AttemptsLeft <= 0 || a.Candidates <= 0 || a.TimeLeft < MinTimeLeft {
		return GiveUp
	}
	if a.Started && !a.Idempotent {
		return GiveUp
	}
	if !b.Take() {
		return GiveUp
	}
	return Retry
}

// BudgetConfig sets a Budget up.
type BudgetConfig struct {
	// EarnRatio is how much of an attempt each success earns, or with Turns each request.
	EarnRatio float64
	// Max is the most that is kept.
	Max float64
}

// Budget is a token bucket of retries for one service. The zero Budget allows none.
type Budget struct {
	config BudgetConfig
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, tokens: config.Max}
}

// Earn adds what one success earns.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+b.config.EarnRatio, b.config.Max)
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take() bool {
	return b.TakeAbove(0)
}

// TakeAbove spends one retry where so many are left after it, and reports whether they are.
func (b *Budget) TakeAbove(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Cap lowers what is kept to the most.
func (b *Budget) Cap(limit float64) {
	b.tokens = min(b.tokens, limit)
}

// PerNodeLimit returns how many retries one of so many nodes may keep, where the fleet as a whole may make so many at once. A
// node keeps one at least, or it could never retry.
func PerNodeLimit(fleet float64, nodes int) float64 {
	return max(fleet/float64(max(nodes, 1)), 1)
}

// Tokens returns what is left.
func (b *Budget) Tokens() float64 {
	return b.tokens
}
