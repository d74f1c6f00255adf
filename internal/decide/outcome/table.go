// Package outcome decides who may run a non-idempotent request, and remembers what became of it, so that it runs at
// most once and nobody is told that it was not run when it was or still can be.
//
// Each request has a Key. A minted key names the one process that may run it. A caller's key has a home that a
// Shard, agreed through the platform, gives for the time in the key. The home keeps a Table of its keys.
//
// # Usage
//
//	k, err := outcome.ParseKey(text)
//	home, ok := shard.Home(service, k.Text, k.UnixMillis)
//	verdict := table.Begin(now, outcome.Ask{ID: id, UnixMillis: k.UnixMillis, Timed: k.Timed, Fingerprint: sum})
//	table.Settle(now, id, outcome.Done, reply, size)
//
// The package does no I/O and reads no clock.
package outcome

import "time"

// State is what is known of one key.
type State int

// The states.
const (
	// Absent means that the key has not been seen.
	Absent State = iota
	// Running means that the request may be running.
	Running
	// Done means that there is an answer for good.
	Done
	// NotRun means that the request has not run, and that nothing that was sent before may still run.
	NotRun
	// Moved means that the key has not run here and never will, because another node took it over.
	Moved
)

// Action is what to do with a request.
type Action int

// The actions.
const (
	// Run says that the request is to be run, and Settle to be called.
	Run Action = iota
	// Attach says to wait for the run that goes on.
	Attach
	// Answer says to give the remembered reply.
	Answer
	// Challenge says to ask the source whether its caller still waits, with the token of the verdict.
	Challenge
	// RefuseNotRun says that the request entered before another copy was told that the key has not run.
	RefuseNotRun
	// RefuseReused says that the key belongs to another request.
	RefuseReused
	// RefuseTime says that the key's own time is too far from the present.
	RefuseTime
	// RefuseFull says that no further key can be remembered.
	RefuseFull
	// RefuseClosed says that the key has gone to another node.
	RefuseClosed
)

// RequestCopy is one copy of a request that arrived.
type RequestCopy struct {
	ID string
	// UnixMillis is the time in the key, where it is Timed.
	UnixMillis  int64
	Timed       bool
	Fingerprint uint64
	// Confirm is the token of the challenge that this copy answers, and Age how long the source has held the request.
	Confirm string
	Age     time.Duration
	// Token is unused so far; a challenge takes it.
	Token string
	// OnlyCopy says that there is no other copy of the request anywhere, so that a refusal needs no memory.
	OnlyCopy bool
}

// Verdict is the decision about one copy.
type Verdict[R any] struct {
	Action Action
	// Reply is set with Answer.
	Reply R
	// Token is set with Challenge.
	Token string
}

// TableConfig sets a Table up.
type TableConfig struct {
	// Window is how long a key is remembered, counted from its own time. Older keys are refused.
	Window time.Duration
	// MaxAhead is how far a key's time may lie in the future.
	MaxAhead time.Duration
	// MaxKeys and MaxBytes bound the memory. At the bound new keys are refused; none is forgotten early. Replies to
	// requests that were let in before the bound was reached may exceed MaxBytes.
	MaxKeys  int
	MaxBytes int
}

// Entry is what is remembered of one key.
type Entry[R any] struct {
	ID string
	// UnixMillis is the key's own time. For a key without one it is when the key was last let run, or moved, or else
	// first seen.
	UnixMillis  int64
	Fingerprint uint64
	State       State
	Reply       R
	Bytes       int
	// MovedTo is the node that took the key over, with Moved.
	MovedTo Node

	// reportedAt is when it was last told that the key has not run.
	reportedAt    time.Time
	token         string
	tokenIssuedAt time.Time
	// onlyCopy says that no other copy can exist.
	onlyCopy bool
}

// markReported notes that somebody is told now that the key has not run, if that is so. What entered before must not run.
func (e *Entry[R]) markReported(now time.Time) {
	if e.State == NotRun {
		e.reportedAt = now
	}
}

// EntryBytes is what a key costs without its reply.
const EntryBytes = 256

// Table remembers keys. R is the type of replies.
type Table[R any] struct {
	config  TableConfig
	entries map[string]*Entry[R]
	bytes   int
	running int
	// windowStart only grows, so that a key that was forgotten is refused for good, even if the clock is set back.
	windowStart int64
	closed      bool
}

// NewTable returns an empty table.
func NewTable[R any](config TableConfig) *Table[R] {
	return &Table[R]{config: config, entries: map[string]*Entry[R]{}}
}

// Begin decides about one copy of a request.
func (t *Table[R]) Begin(now time.Time, a RequestCopy) Verdict[R] {
	t.advanceWindow(now)
	if a.Timed && t.isOutsideWindow(now, a.UnixMillis) {
		return Verdict[R]{Action: RefuseTime}
	}
	e, ok := t.find(a.ID)
	if t.closed && (!ok || e.State == NotRun) {
		return Verdict[R]{Action: RefuseClosed}
	}
	if !ok {
		return t.beginNew(a)
	}
	if e.Fingerprint != a.Fingerprint && e.State != Moved {
		return Verdict[R]{Action: RefuseReused}
	}
	return t.beginKnown(now, e, a)
}

// Settle ends a run. Done remembers the reply of the given size in bytes; NotRun only that it was so, and not even
// that where all copies have been answered by it.
func (t *Table[R]) Settle(now time.Time, id string, state State, reply R, bytes int) {
	e, ok := t.entries[id]
	if !ok || e.State != Running {
		return
	}
	t.running--
	e.State = state
	if state == Done {
		e.Reply = reply
		e.Bytes += bytes
		t.bytes += bytes
		return
	}
	e.reportedAt = now
	if e.onlyCopy {
		t.remove(e)
	}
}

// MayRun reports whether a copy of the key may still be let run: it has neither run nor moved within the window.
func (t *Table[R]) MayRun(now time.Time, id string) bool {
	t.advanceWindow(now)
	e, ok := t.find(id)
	return !ok || e.State == NotRun
}

// Resolve tells what became of a key. A key that has not been seen stays so.
func (t *Table[R]) Resolve(now time.Time, id string) (State, R) {
	e, ok := t.entries[id]
	if !ok {
		var none R
		return Absent, none
	}
	e.markReported(now)
	return e.State, e.Reply
}

// MoveResult is the answer about a key that another node takes over.
type MoveResult[R any] struct {
	State State
	// Reply is set with Done.
	Reply R
	// Fingerprint is that of the request that came under the key, or 0 where none came.
	Fingerprint uint64
}

// Move tells what became of a key, and moves one that has not run to the given node: it never runs here. A table that
// can't remember that, or that has been handed over, says Absent.
func (t *Table[R]) Move(now time.Time, a RequestCopy, to Node) MoveResult[R] {
	t.advanceWindow(now)
	e, ok := t.find(a.ID)
	switch {
	case ok && e.State != NotRun:
		return MoveResult[R]{State: e.State, Reply: e.Reply, Fingerprint: e.Fingerprint}
	case t.closed || (!ok && t.isFull()):
		return MoveResult[R]{State: Absent}
	case !ok:
		e = t.insert(a)
	}
	t.restartWindow(e, a)
	e.State = Moved
	e.MovedTo = to
	return MoveResult[R]{State: Moved, Fingerprint: e.Fingerprint}
}

// Close lets nothing run from now on but what runs already. Answers are still given.
func (t *Table[R]) Close() {
	t.closed = true
}

// Entries returns what is remembered, to be handed over once the table is closed and nothing runs.
func (t *Table[R]) Entries() []Entry[R] {
	entries := make([]Entry[R], 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, *e)
	}
	return entries
}

// Restore takes in an entry that another node handed over, unless it is older than the window. An answer replaces what
// says that the key went elsewhere.
func (t *Table[R]) Restore(now time.Time, e Entry[R]) {
	t.advanceWindow(now)
	held, ok := t.find(e.ID)
	if e.UnixMillis < t.windowStart || ok && (held.State != Moved || e.State == Moved) {
		return
	}
	if ok {
		t.remove(held)
	}
	e.reportedAt = now
	t.entries[e.ID] = &e
	t.bytes += e.Bytes
}

// Reclaim makes the keys that were moved to the given nodes keys of this table again, because it answers for them now.
func (t *Table[R]) Reclaim(answersFor func(Node) bool) {
	for _, e := range t.entries {
		if e.State == Moved && answersFor(e.MovedTo) {
			t.remove(e)
		}
	}
}

// Expire forgets the keys that are older than the window. It is called regularly.
func (t *Table[R]) Expire(now time.Time) {
	t.advanceWindow(now)
	for _, e := range t.entries {
		if t.isExpired(e) {
			t.remove(e)
		}
	}
}

func (t *Table[R]) isExpired(e *Entry[R]) bool {
	return e.State != Running && e.UnixMillis < t.windowStart
}

// find returns the entry unless it is older than the window: whether such a one is still there depends on when Expire
// was called, and a later home of a key without a time no longer asks for it.
func (t *Table[R]) find(id string) (*Entry[R], bool) {
	e, ok := t.entries[id]
	if ok && t.isExpired(e) {
		t.remove(e)
		return nil, false
	}
	return e, ok
}

// restartWindow lets the window of a key without a time begin anew. It counts from the latest time that was ever seen, so
// that a clock that was set back makes no key forgotten early.
func (t *Table[R]) restartWindow(e *Entry[R], a RequestCopy) {
	if !a.Timed {
		e.UnixMillis = t.windowStart + t.config.Window.Milliseconds()
	}
}

// Size is the memory in use.
type Size struct {
	Keys    int
	Bytes   int
	Running int
}

// Size returns the memory in use.
func (t *Table[R]) Size() Size {
	return Size{Keys: len(t.entries), Bytes: t.bytes, Running: t.running}
}

func (t *Table[R]) advanceWindow(now time.Time) {
	t.windowStart = max(t.windowStart, now.Add(-t.config.Window).UnixMilli())
}

func (t *Table[R]) isOutsideWindow(now time.Time, unixMillis int64) bool {
	return unixMillis < t.windowStart || unixMillis > now.Add(t.config.MaxAhead).UnixMilli()
}

func (t *Table[R]) isFull() bool {
	return len(t.entries) >= t.config.MaxKeys || t.bytes+EntryBytes > t.config.MaxBytes
}

func (t *Table[R]) beginNew(a RequestCopy) Verdict[R] {
	if t.isFull() {
		return Verdict[R]{Action: RefuseFull}
	}
	e := t.insert(a)
	e.State = Running
	t.running++
	return Verdict[R]{Action: Run}
}

func (t *Table[R]) beginKnown(now time.Time, e *Entry[R], a RequestCopy) Verdict[R] {
	switch e.State {
	case Running:
		e.onlyCopy = e.onlyCopy && a.OnlyCopy
		return Verdict[R]{Action: Attach}
	case Done:
		return Verdict[R]{Action: Answer, Reply: e.Reply}
	case Moved:
		return Verdict[R]{Action: RefuseClosed}
	}
	if a.Confirm == "" || a.Confirm != e.token {
		e.token, e.tokenIssuedAt = a.Token, now
		return Verdict[R]{Action: Challenge, Token: a.Token}
	}
	return t.beginConfirmed(now, e, a)
}

// beginConfirmed runs a request whose source still holds it, if the request entered after it was last told that the key
// has not run. The source computed the age after the challenge was issued, so the request entered later than
// issued-age; no two clocks are compared.
func (t *Table[R]) beginConfirmed(now time.Time, e *Entry[R], a RequestCopy) Verdict[R] {
	e.token = ""
	if !e.tokenIssuedAt.Add(-a.Age).After(e.reportedAt) {
		e.markReported(now)
		return Verdict[R]{Action: RefuseNotRun}
	}
	t.restartWindow(e, a)
	e.State = Running
	t.running++
	return Verdict[R]{Action: Run}
}

func (t *Table[R]) insert(a RequestCopy) *Entry[R] {
	e := &Entry[R]{ID: a.ID, UnixMillis: a.UnixMillis, Fingerprint: a.Fingerprint, Bytes: EntryBytes, onlyCopy: a.OnlyCopy}
	t.restartWindow(e, a)
	t.entries[e.ID] = e
	t.bytes += e.Bytes
	return e
}

func (t *Table[R]) remove(e *Entry[R]) {
	delete(t.entries, e.ID)
	t.bytes -= e.Bytes
}
