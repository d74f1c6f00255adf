// Package retry decides whether a request is attempted again.
//
// Two limits apply together: the attempt allowance, which the root request carries along its whole call chain, and a
// retry budget for each service, which is replenished only by successes. There is no further attempt if the reply is
// marked final, if the failure comes from further down the call chain, if a non-idempotent request may have run, or if
// the deadline is too near.
//
// A request that the backend server itself shed can instead be requeued: it is offered to the gate of the same backend
// server again, within a requeue budget. See DecideRequeue.
//
// # Usage
//
//	budget := retry.NewBudget(retry.BudgetConfig{EarnRatio: 0.1, Max: 20})
//	budget.Earn() // after each success
//	if retry.Decide(attempt, budget) == retry.Retry {
//		// Send the request to another instance.
//	}
//
// The package does no I/O and reads no clock.
package retry

import "time"

// Verdict is the decision after a failed attempt.
type Verdict int

// Possible values of Verdict.
const (
	// GiveUp returns the reply to the caller.
	GiveUp Verdict = iota
	// Retry sends the request to another instance.
	Retry
)

// Attempt describes a failed attempt.
type Attempt struct {
	Idempotent bool
	// Started reports whether the backend server may have started the request.
	Started bool
	// Final reports whether the reply is marked final.
	Final bool
	// FailedDownstream reports whether the failure comes from further down the call chain, where the node next to it
	// has already decided whether to retry.
	FailedDownstream bool
	AttemptsLeft     int
	TimeLeft         time.Duration
	// Candidates is the number of instances that have not been tried.
	Candidates int
}

// MinTimeLeft is the least time before the deadline with which another attempt is made.
const MinTimeLeft = 2 * time.Millisecond

// Decide decides about a failed attempt and charges the budget if the result is Retry.
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

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// EarnRatio is the fraction of an attempt that each success earns, or each request in a RequeueBudget.
	EarnRatio float64
	// Max is the capacity of the budget.
	Max float64
}

// Budget is a token bucket of retries for one service, in which each retry costs one token. The zero Budget allows none.
type Budget struct {
	config BudgetConfig
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, tokens: config.Max}
}

// Earn credits one success.
func (b *Budget) Earn() {
	b.tokens = min(b.tokens+b.config.EarnRatio, b.config.Max)
}

// Take spends one retry and reports whether one was left.
func (b *Budget) Take() bool {
	return b.TakeAbove(0)
}

// TakeAbove spends one retry if at least reserve remain after it, and reports whether it did.
func (b *Budget) TakeAbove(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Cap lowers the number of retries left to the limit.
func (b *Budget) Cap(limit float64) {
	b.tokens = min(b.tokens, limit)
}

// PerNodeLimit divides the number of retries that the fleet may make at the same time by the number of nodes. Each node
// gets at least one, because it could otherwise never retry.
func PerNodeLimit(fleet float64, nodes int) float64 {
	return max(fleet/float64(max(nodes, 1)), 1)
}

// Tokens returns the number of retries left.
func (b *Budget) Tokens() float64 {
	return b.tokens
}
