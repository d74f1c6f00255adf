// Package fence decides what became of attempts whose answer was lost, so that a request which may run once at most can
// be sent elsewhere where it has not run. Who asks about an attempt that has not begun makes sure that it never will.
//
// # Usage
//
//	if !table.Begin(now, id) { ... refuse: it never runs here ... }
//	table.End(now, id, started)
//	state := table.Resolve(now, id)
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package fence

import "time"

// State is what became of an attempt.
type State int

// The states.
const (
	// Fenced means that the attempt has not run and never will.
	Fenced State = iota
	// Running means that it is being worked on.
	Running
	// Ran means that it ended and may have run.
	Ran
)

// retention is how long an attempt is remembered after its last change. It is longer than any message is on its way.
const retention = 30 * time.Second

// Table remembers attempts.
type Table struct {
	states map[string]State
	// ended holds the attempts that no longer run, the oldest first.
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

// Begin notes that an attempt begins, and reports false where it must not run, because it was fenced or came before.
func (t *Table) Begin(now time.Time, id string) bool {
	t.dropExpired(now)
	if _, known := t.states[id]; known {
		return false
	}
	t.states[id] = Running
	return true
}

// End notes that an attempt ended. One that was refused before it started has not run.
func (t *Table) End(now time.Time, id string, started bool) {
	t.states[id] = Fenced
	if started {
		t.states[id] = Ran
	}
	t.ended = append(t.ended, endedAttempt{id: id, at: now})
}

// Resolve tells what became of an attempt. One that is not known is fenced.
func (t *Table) Resolve(now time.Time, id string) State {
	t.dropExpired(now)
	state, known := t.states[id]
	if !known {
		t.End(now, id, false)
		return Fenced
	}
	return state
}

// Knows reports whether the attempt came here or was asked about.
func (t *Table) Knows(id string) bool {
	_, known := t.states[id]
	return known
}

// Len returns how many attempts are remembered.
func (t *Table) Len() int {
	return len(t.states)
}

func (t *Table) dropExpired(now time.Time) {
	for len(t.ended) > 0 && now.Sub(t.ended[0].at) > retention {
		delete(t.states, t.ended[0].id)
		t.ended = t.ended[1:]
	}
}
