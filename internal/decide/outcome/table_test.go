package outcome_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/outcome"
)

var start = time.UnixMilli(1_800_000_000_000)

var config = outcome.TableConfig{Window: time.Minute, MaxAhead: 10 * time.Second, MaxKeys: 3, MaxBytes: 1 << 20}

func copyAt(id string, at time.Time) outcome.RequestCopy {
	return outcome.RequestCopy{ID: id, UnixMillis: at.UnixMilli(), Timed: true, Fingerprint: 7, Token: "token-of-" + id}
}

func TestParseKey(t *testing.T) {
	owner := outcome.Node{Name: "access.0", Incarnation: 99}
	id := uuid.MustParse("01a23f1d-16fa-75fd-80e0-13ed2775fc37")
	for name, tc := range map[string]struct {
		text   string
		millis int64
		timed  bool
		owner  outcome.Node
		fault  bool
	}{
		"UUIDv7":      {text: id.String(), millis: 0x01a23f1d16fa, timed: true},
		"ULID":        {text: "01ARZ3NDEKTSV4RRFFQ69G5FAV", millis: 1469922850259, timed: true},
		"minted":      {text: outcome.Mint(owner, id), millis: 0x01a23f1d16fa, timed: true, owner: owner},
		"UUIDv4":      {text: "1b4e28ba-2fa1-41d2-883f-0016d3cca427"},
		"opaque":      {text: "booking-17"},
		"half minted": {text: "m.2r.nonsense.access"},
		"empty":       {fault: true},
		"with space":  {text: "booking 17", fault: true},
		"not ASCII":   {text: "lüster", fault: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k, err := outcome.ParseKey(tc.text)
			is.Equal(err != nil, tc.fault)
			is.Equal(k.Timed, tc.timed)
			is.Equal(k.UnixMillis, tc.millis)
			is.Equal(k.Owner, tc.owner)
		})
	}
}

func TestCopiesOfOneKey(t *testing.T) {
	is := is.New(t)
	table := outcome.NewTable[string](config)
	is.Equal(table.Begin(start, copyAt("k", start)).Action, outcome.Run)
	is.Equal(table.Begin(start, copyAt("k", start)).Action, outcome.Attach)
	table.Settle(start, "k", outcome.Done, "booked", 6)
	again := table.Begin(start.Add(time.Second), copyAt("k", start))
	is.Equal(again.Action, outcome.Answer)
	is.Equal(again.Reply, "booked")
	other := copyAt("k", start)
	other.Fingerprint = 8
	is.Equal(table.Begin(start, other).Action, outcome.RefuseReused)
}

// After a key was reported as not run, a copy that entered earlier must not run.
func TestLateCopyAfterNotRun(t *testing.T) {
	for name, tc := range map[string]struct {
		age  time.Duration
		want outcome.Action
	}{
		"entered before the report":         {age: 3 * time.Second, want: outcome.RefuseNotRun},
		"entered at the time of the report": {age: 2 * time.Second, want: outcome.RefuseNotRun},
		"entered after the report":          {age: time.Second, want: outcome.Run},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := outcome.NewTable[string](config)
			table.Begin(start, copyAt("k", start))
			table.Settle(start, "k", outcome.NotRun, "", 0)
			challenge := table.Begin(start.Add(2*time.Second), copyAt("k", start))
			is.Equal(challenge.Action, outcome.Challenge)
			confirmed := copyAt("k", start)
			confirmed.Confirm, confirmed.Age = challenge.Token, tc.age
			is.Equal(table.Begin(start.Add(9*time.Second), confirmed).Action, tc.want)
			is.True(table.Begin(start.Add(9*time.Second), confirmed).Action != outcome.Run) // a token is valid once
		})
	}
}

func TestMovedKeyNeverRuns(t *testing.T) {
	is := is.New(t)
	table := outcome.NewTable[string](config)
	other := outcome.Node{Name: "access_1", Incarnation: 5}
	table.Begin(start, copyAt("done", start))
	is.Equal(table.Move(start, copyAt("done", start), other).State, outcome.Running)
	table.Settle(start, "done", outcome.Done, "booked", 6)
	is.Equal(table.Move(start, copyAt("done", start), other), outcome.MoveResult[string]{State: outcome.Done, Reply: "booked", Fingerprint: 7})
	unseen := copyAt("new", start)
	unseen.Fingerprint = 0
	is.Equal(table.Move(start, unseen, other), outcome.MoveResult[string]{State: outcome.Moved})
	is.Equal(table.Begin(start, copyAt("new", start)).Action, outcome.RefuseClosed)
	table.Reclaim(func(n outcome.Node) bool { return n == other })
	is.Equal(table.Begin(start, copyAt("new", start)).Action, outcome.Run) // the other node handed its keys over to this one
}

// Resolve reports a key as not run, so that later only copies that entered afterwards may run.
func TestResolvedAsNotRun(t *testing.T) {
	is := is.New(t)
	table := outcome.NewTable[string](config)
	table.Begin(start, copyAt("k", start))
	table.Settle(start, "k", outcome.NotRun, "", 0)
	state, _ := table.Resolve(start.Add(5*time.Second), "k")
	is.Equal(state, outcome.NotRun)
	confirmed := copyAt("k", start)
	confirmed.Confirm = table.Begin(start.Add(6*time.Second), copyAt("k", start)).Token
	confirmed.Age = 2 * time.Second
	is.Equal(table.Begin(start.Add(7*time.Second), confirmed).Action, outcome.RefuseNotRun)
}

func TestRefusedOnlyCopyIsNotRecorded(t *testing.T) {
	is := is.New(t)
	table := outcome.NewTable[string](config)
	single := copyAt("k", start)
	single.OnlyCopy = true
	table.Begin(start, single)
	table.Settle(start, "k", outcome.NotRun, "", 0)
	is.Equal(table.Size(), outcome.Size{})
	table.Begin(start, single)
	table.Begin(start, copyAt("k", start)) // a second copy arrived while the first was running
	table.Settle(start, "k", outcome.NotRun, "", 0)
	is.Equal(table.Size().Keys, 1)
}

func TestDroppedKeysStayRefused(t *testing.T) {
	is := is.New(t)
	table := outcome.NewTable[string](config)
	table.Begin(start, copyAt("k", start))
	table.Settle(start, "k", outcome.Done, "booked", 6)
	table.Expire(start.Add(config.Window))
	is.Equal(table.Size().Keys, 1)
	table.Expire(start.Add(config.Window + time.Second))
	is.Equal(table.Size(), outcome.Size{})
	is.Equal(table.Begin(start, copyAt("k", start)).Action, outcome.RefuseTime) // also if the clock was set back
	is.Equal(table.Begin(start, copyAt("f", start.Add(time.Minute))).Action, outcome.RefuseTime)
}

// The window of a key without a timestamp counts from the last run or move.
func TestWindowOfKeysWithoutTime(t *testing.T) {
	opaque := outcome.RequestCopy{ID: "k", Fingerprint: 7, Token: "token"}
	late, end := start.Add(config.Window-time.Second), start.Add(2*config.Window-2*time.Second)
	refuse := func(table *outcome.Table[string]) {
		table.Begin(start, opaque)
		table.Settle(start, "k", outcome.NotRun, "", 0)
	}
	for name, tc := range map[string]struct {
		late func(*outcome.Table[string])
		at   time.Time
		want outcome.Action
	}{
		"refused, then run": {at: end, want: outcome.Answer, late: func(table *outcome.Table[string]) {
			confirmed := opaque
			confirmed.Confirm = table.Begin(late, opaque).Token
			table.Begin(late, confirmed)
			table.Settle(late, "k", outcome.Done, "booked", 6)
		}},
		"refused, then moved": {at: end, want: outcome.RefuseClosed, late: func(table *outcome.Table[string]) {
			table.Move(late, opaque, outcome.Node{Name: "access_1", Incarnation: 5})
		}},
		"refused, and past the window before Expire is called": {at: end, want: outcome.Run, late: func(*outcome.Table[string]) {}},
		"run after the clock was set back": {at: start.Add(-2 * config.Window), want: outcome.Answer, late: func(table *outcome.Table[string]) {
			back := start.Add(-3 * config.Window)
			table.Expire(start.Add(2 * config.Window))
			table.Begin(back, opaque)
			table.Settle(back, "k", outcome.Done, "booked", 6)
		}},
		"handed over past the window": {at: end, want: outcome.Run, late: func(table *outcome.Table[string]) {
			entries := table.Entries()
			table.Expire(end)
			table.Restore(end, entries[0])
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := outcome.NewTable[string](config)
			refuse(table)
			tc.late(table)
			is.Equal(table.Begin(tc.at, opaque).Action, tc.want)
		})
	}
}

func TestFullTableRefusesNewKeys(t *testing.T) {
	is := is.New(t)
	table := outcome.NewTable[string](config)
	for _, id := range []string{"a", "b", "c"} {
		is.Equal(table.Begin(start, copyAt(id, start)).Action, outcome.Run)
	}
	is.Equal(table.Begin(start, copyAt("d", start)).Action, outcome.RefuseFull)
	is.Equal(table.Begin(start, copyAt("a", start)).Action, outcome.Attach)
}

func TestClosedTableOnlyAnswers(t *testing.T) {
	is := is.New(t)
	table, successor := outcome.NewTable[string](config), outcome.NewTable[string](config)
	table.Begin(start, copyAt("running", start))
	table.Begin(start, copyAt("refused", start))
	table.Settle(start, "refused", outcome.NotRun, "", 0)
	table.Close()
	is.Equal(table.Begin(start, copyAt("new", start)).Action, outcome.RefuseClosed)
	is.Equal(table.Begin(start, copyAt("refused", start)).Action, outcome.RefuseClosed)
	is.Equal(table.Begin(start, copyAt("running", start)).Action, outcome.Attach)
	table.Settle(start, "running", outcome.Done, "booked", 6)
	for _, e := range table.Entries() {
		successor.Restore(start, e)
	}
	is.Equal(successor.Begin(start, copyAt("running", start)).Action, outcome.Answer)
	is.Equal(successor.Begin(start, copyAt("refused", start)).Action, outcome.Challenge)
	is.Equal(successor.Size().Bytes, table.Size().Bytes)
}
