// Package outcome decides which node may run a non-idempotent request, and records its result. A request runs at most
// once, and no caller is told that a request has not run if it has run or can still run.
//
// Each request has a Key. A minted key, which a node creates for a request that came without one, names the only
// process that may run it. The owner of a caller's key is given by the timestamp in the key and a Shard, which the
// nodes agree on through the platform. A key without a timestamp is opaque: its owner is given by the last epoch of the
// Shard, and must first ask the earlier owners to move the key. The key owner keeps a Table of its keys.
//
// # Usage
//
//	table := outcome.NewTable[string](config)
//	k, err := outcome.ParseKey(text)
//	owner, ok := shard.Owner(service, k.Text, k.UnixMillis)
//	verdict := table.Begin(now, outcome.RequestCopy{ID: id, UnixMillis: k.UnixMillis, Timed: k.Timed, Fingerprint: sum})
//	table.Settle(now, id, outcome.Done, reply, size)
//
// The package does no I/O and reads no clock.
package outcome

import "time"

// State is the state of one key.
type State int

// The states.
const (
	// Absent means that the key has not been seen.
	Absent State = iota
	// Running means that the request may be running.
	Running
	// Done means that the request has a final reply.
	Done
	// NotRun means that the request has not run. Copies that entered before this was reported must not run.
	NotRun
	// Moved means that the key has not run on this node and never will, because another node took it over.
	Moved
)

// Action is the decision about a copy of a request.
type Action int

// The actions.
const (
	// Run means that the request must be run, and that Settle must be called when it ends.
	Run Action = iota
	// Attach means that the request is running, and that the copy must wait for its reply.
	Attach
	// Answer means that the copy gets the recorded reply.
	Answer
	// Challenge means that the source, which is the node that sent the copy, must confirm with the verdict's token that
	// its caller still waits.
	Challenge
	// RefuseNotRun means that the copy entered before the key was last reported as not run, and therefore must not run.
	RefuseNotRun
	// RefuseReused means that the key was used for another request.
	RefuseReused
	// RefuseTime means that the key's timestamp is too far from the present.
	RefuseTime
	// RefuseFull means that the table can't hold another key.
	RefuseFull
	// RefuseClosed means that the key was handed over or moved to another node.
	RefuseClosed
)

// RequestCopy is one arriving copy of a request.
type RequestCopy struct {
	ID string
	// UnixMillis is the timestamp in the key; set only if Timed.
	UnixMillis  int64
	Timed       bool
	Fingerprint uint64
	// Confirm is the token of the challenge that this copy answers, and Age is how long the source has held the
	// request.
	Confirm string
	Age     time.Duration
	// Token is a fresh token, which becomes the token of a challenge if the copy is challenged.
	Token string
	// OnlyCopy reports whether no other copy of the request exists, so that a refusal need not be recorded.
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

// TableConfig configures a Table.
type TableConfig struct {
	// Window is how long a key is kept, counted from its timestamp. Older keys are refused.
	Window time.Duration
	// MaxAhead is how far a key's timestamp may lie in the future.
	MaxAhead time.Duration
	// MaxKeys and MaxBytes limit the memory. At a limit new keys are refused, and no key is dropped early. Replies to
	// requests that were admitted before the limit was reached may exceed MaxBytes.
	MaxKeys  int
	MaxBytes int
}

// Entry is the record of one key.
type Entry[R any] struct {
	ID string
	// UnixMillis is the timestamp of the key. For a key without one, it is the time of the last run or move, or else of
	// the first copy.
	UnixMillis  int64
	Fingerprint uint64
	State       State
	Reply       R
	Bytes       int
	// MovedTo is the node that took the key over; set only if State is Moved.
	MovedTo Node

	// reportedAt is when the key was last reported as not run.
	reportedAt    time.Time
	token         string
	tokenIssuedAt time.Time
	// onlyCopy reports whether no other copy of the request can exist.
	onlyCopy bool
}

// markReported records that a key in state NotRun is reported as not run now. Copies that entered before must not run.
func (e *Entry[R]) markReported(now time.Time) {
	if e.State == NotRun {
		e.reportedAt = now
	}
}

// EntryBytes is the memory charged for a key without its reply.
const EntryBytes = 256

// Table records the keys of one node. R is the type of replies.
type Table[R any] struct {
	config  TableConfig
	entries map[string]*Entry[R]
	bytes   int
	running int
	// windowStart is the time, in Unix milliseconds, before which keys are refused and dropped. It only grows, so that a
	// dropped key stays refused if the clock is set back.
	windowStart int64
	closed      bool
}

// NewTable returns an empty table.
func NewTable[R any](config TableConfig) *Table[R] {
	return &Table[R]{config: config, entries: map[string]*Entry[R]{}}
}

// Begin decides what to do with one copy of a request.
func (t *Table[R]) Begin(now time.Time, c RequestCopy) Verdict[R] {
	t.advanceWindow(now)
	if c.Timed && t.isOutsideWindow(now, c.UnixMillis) {
		return Verdict[R]{Action: RefuseTime}
	}
	e, ok := t.find(c.ID)
	if t.closed && (!ok || e.State == NotRun) {
		return Verdict[R]{Action: RefuseClosed}
	}
	if !ok {
		return t.beginNew(c)
	}
	if e.Fingerprint != c.Fingerprint && e.State != Moved {
		return Verdict[R]{Action: RefuseReused}
	}
	return t.beginKnown(now, e, c)
}

// Settle records the end of a run. Done stores the reply, of the given size in bytes. NotRun stores only the state, and
// drops the key if no other copy exists.
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

// MayRun reports whether a copy of the key may still run, because the key has neither run nor moved within the window.
func (t *Table[R]) MayRun(now time.Time, id string) bool {
	t.advanceWindow(now)
	e, ok := t.find(id)
	return !ok || e.State == NotRun
}

// Resolve returns the state of a key, and the reply of a key that is Done. A key that is not in the table is not added.
func (t *Table[R]) Resolve(now time.Time, id string) (State, R) {
	e, ok := t.entries[id]
	if !ok {
		var none R
		return Absent, none
	}
	e.markReported(now)
	return e.State, e.Reply
}

// MoveResult is the result of Table.Move.
type MoveResult[R any] struct {
	State State
	// Reply is set with Done.
	Reply R
	// Fingerprint is the fingerprint of the request that arrived under the key, or 0 if none arrived.
	Fingerprint uint64
}

// Move returns the state of a key. A key that has not run is first moved to the given node, and then never runs here.
// The state is Absent if the table can't record the move, or has been handed over.
func (t *Table[R]) Move(now time.Time, c RequestCopy, to Node) MoveResult[R] {
	t.advanceWindow(now)
	e, ok := t.find(c.ID)
	switch {
	case ok && e.State != NotRun:
		return MoveResult[R]{State: e.State, Reply: e.Reply, Fingerprint: e.Fingerprint}
	case t.closed || (!ok && t.isFull()):
		return MoveResult[R]{State: Absent}
	case !ok:
		e = t.insert(c)
	}
	t.restartWindow(e, c)
	e.State = Moved
	e.MovedTo = to
	return MoveResult[R]{State: Moved, Fingerprint: e.Fingerprint}
}

// Close stops the table from starting further requests. Running requests go on, and copies still get their replies.
func (t *Table[R]) Close() {
	t.closed = true
}

// Entries returns all entries. They are handed over once the table is closed and nothing runs.
func (t *Table[R]) Entries() []Entry[R] {
	entries := make([]Entry[R], 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, *e)
	}
	return entries
}

// Restore adds an entry that another node handed over, unless the entry is older than the window. An entry in any other
// state replaces one that only records that the key was moved.
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

// Reclaim drops the records of keys that were moved to nodes for which this table answers now, so that the keys may run
// here again.
func (t *Table[R]) Reclaim(answersFor func(Node) bool) {
	for _, e := range t.entries {
		if e.State == Moved && answersFor(e.MovedTo) {
			t.remove(e)
		}
	}
}

// Expire drops the keys that are older than the window. It must be called regularly.
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

// find returns the entry unless it is older than the window. Whether Expire has already dropped such an entry depends
// on when it was called, and a later owner of a key without a timestamp no longer asks for the key.
func (t *Table[R]) find(id string) (*Entry[R], bool) {
	e, ok := t.entries[id]
	if ok && t.isExpired(e) {
		t.remove(e)
		return nil, false
	}
	return e, ok
}

// restartWindow restarts the window of a key without a timestamp. The window counts from the latest time ever seen, so
// that a clock that was set back doesn't drop a key early.
func (t *Table[R]) restartWindow(e *Entry[R], c RequestCopy) {
	if !c.Timed {
		e.UnixMillis = t.windowStart + t.config.Window.Milliseconds()
	}
}

// Size is the memory use of a table.
type Size struct {
	Keys    int
	Bytes   int
	Running int
}

// Size returns the memory use.
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

func (t *Table[R]) beginNew(c RequestCopy) Verdict[R] {
	if t.isFull() {
		return Verdict[R]{Action: RefuseFull}
	}
	e := t.insert(c)
	e.State = Running
	t.running++
	return Verdict[R]{Action: Run}
}

func (t *Table[R]) beginKnown(now time.Time, e *Entry[R], c RequestCopy) Verdict[R] {
	switch e.State {
	case Running:
		e.onlyCopy = e.onlyCopy && c.OnlyCopy
		return Verdict[R]{Action: Attach}
	case Done:
		return Verdict[R]{Action: Answer, Reply: e.Reply}
	case Moved:
		return Verdict[R]{Action: RefuseClosed}
	}
	if c.Confirm == "" || c.Confirm != e.token {
		e.token, e.tokenIssuedAt = c.Token, now
		return Verdict[R]{Action: Challenge, Token: c.Token}
	}
	return t.beginConfirmed(now, e, c)
}

// beginConfirmed runs a request that its source still holds, if the request entered after the key was last reported as
// not run. The source measured the age after the challenge was issued, so the request entered later than tokenIssuedAt
// minus the age. This compares no clocks of two nodes.
func (t *Table[R]) beginConfirmed(now time.Time, e *Entry[R], c RequestCopy) Verdict[R] {
	e.token = ""
	if !e.tokenIssuedAt.Add(-c.Age).After(e.reportedAt) {
		e.markReported(now)
		return Verdict[R]{Action: RefuseNotRun}
	}
	t.restartWindow(e, c)
	e.State = Running
	t.running++
	return Verdict[R]{Action: Run}
}

func (t *Table[R]) insert(c RequestCopy) *Entry[R] {
	e := &Entry[R]{ID: c.ID, UnixMillis: c.UnixMillis, Fingerprint: c.Fingerprint, Bytes: EntryBytes, onlyCopy: c.OnlyCopy}
	t.restartWindow(e, c)
	t.entries[e.ID] = e
	t.bytes += e.Bytes
	return e
}

func (t *Table[R]) remove(e *Entry[R]) {
	delete(t.entries, e.ID)
	t.bytes -= e.Bytes
}
