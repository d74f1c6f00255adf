// Package fence decides whether an attempt whose reply was lost has run. A request that may run at most once can then
// be sent to another instance if the attempt has not run. Asking about an attempt that has not begun fences it, so that
// it never runs.
//
// # Usage
//
//	if !table.Begin(now, id) { ... refuse: the attempt never runs here ... }
//	table.End(now, id, started)
//	state := table.Resolve(now, id)
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package fence

import "time"

// State is the state of an attempt.
type State int

// The states.
const (
	// Fenced means that the attempt has not run and never will.
	Fenced State = iota
	// Running means that the attempt is in progress.
	Running
	// Ran means that the attempt has ended and may have run.
	Ran
)

// retention is how long an attempt is kept after it ended or was fenced. It is longer than any message is in transit, so
// that an attempt that arrives late is still refused.
const retention = 30 * time.Second

// Table records the states of attempts.
type Table struct {
	states map[string]State
	// ended holds the attempts that are no longer running, oldest first.
	ended []endedAttempt
}

type endedAttempt struct {
	id string
	at time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{states: map[string]State{}}
}

// Begin records that an attempt begins, and reports whether it may run: not if it was fenced or has begun before.
func (t *Table) Begin(now time.Time, id string) bool {
	t.dropExpired(now)
	if _, known := t.states[id]; known {
		return false
	}
	t.states[id] = Running
	return true
}

// End records that an attempt ended. started reports whether the attempt was started; one that was refused before that
// has not run.
func (t *Table) End(now time.Time, id string, started bool) {
	t.states[id] = Fenced
	if started {
		t.states[id] = Ran
	}
	t.ended = append(t.ended, endedAttempt{id: id, at: now})
}

// Resolve returns the state of an attempt, and fences an unknown one.
func (t *Table) Resolve(now time.Time, id string) State {
	t.dropExpired(now)
	state, known := t.states[id]
	if !known {
		t.End(now, id, false)
		return Fenced
	}
	return state
}

// Knows reports whether the table has a record of the attempt, because the attempt began here or Resolve was called for
// it.
func (t *Table) Knows(id string) bool {
	_, known := t.states[id]
	return known
}

// Len returns the number of recorded attempts.
func (t *Table) Len() int {
	return len(t.states)
}

func (t *Table) dropExpired(now time.Time) {
	for len(t.ended) > 0 && now.Sub(t.ended[0].at) > retention {
		delete(t.states, t.ended[0].id)
		t.ended = t.ended[1:]
	}
}
