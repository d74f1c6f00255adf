package crashrecord_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/control/crashrecord"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

var bad = quarantine.NewFingerprint(quarantine.Request{Host: "sheets.example", Method: "GET", Path: "/bad"})

// process is one process of a node: a table, which tells no other node, and its records.
type process struct {
	controller *crashrecord.Controller

	mu    sync.Mutex
	table *quarantine.Table
}

// start starts a process of the node, which runs until the context ends.
func start(ctx context.Context, group *conc.WaitGroup, s *kv.Store, node string) *process {
	config := quarantine.DefaultConfig
	config.Node = node
	p := &process{table: quarantine.NewTable(config)}
	p.controller = crashrecord.NewController(crashrecord.Config{
		Store: s.ForNode(node), Table: p, Lifetime: config.Lifetime,
		Log: events.NewLimiter(events.NewLog(io.Discard, zerolog.InfoLevel, node), time.Second),
	})
	group.Go(func() { p.controller.Run(ctx) })
	return p
}

func (p *process) Record(f quarantine.Fingerprint) (quarantine.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Record(time.Now(), f)
}

func (p *process) Restore(r quarantine.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Restore(time.Now(), r)
}

func (p *process) Complete(r quarantine.Record) {
	p.Restore(r)
}

// crash lets the request crash the backend server beside the process, unless it is refused. It returns the verdict.
func (p *process) crash() quarantine.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	verdict := p.table.Begin(now, bad, 0)
	if verdict.Action == quarantine.Run {
		_, _ = p.table.End(now, bad, now, quarantine.Broken)
		p.controller.Update(bad)
	}
	return verdict
}

// crashTwice lets the request crash the backend server as often as it takes to quarantine it.
func (p *process) crashTwice(is *is.I) {
	is.Helper()
	is.Equal(p.crash().Action, quarantine.Run)
	time.Sleep(time.Millisecond)
	is.Equal(p.crash().Action, quarantine.Run)
}

// entries returns the number of requests that the process suspects.
func (p *process) entries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.table.Entries())
}

// Guards against a node that forgets with its process which requests crash backend servers, and lets them through again.
func TestQuarantineOutlivesTheProcess(t *testing.T) {
	for name, test := range map[string]struct {
		// disturb disturbs the store after two crashes; 3 s later the next process starts.
		disturb func(s *kv.Store)
		// left is how long the request is refused from 1 s after the next start on.
		left time.Duration
	}{
		"calm":            {func(*kv.Store) {}, 6 * time.Second},
		"store refuses":   {func(s *kv.Store) { s.SetFaults(kv.Faults{RefuseLatest: true}) }, 6 * time.Second},
		"record not read": {func(s *kv.Store) { s.ForcePut(crashrecord.Prefix+"x", []byte("no record")) }, 6 * time.Second},
		"responses lost":  {func(s *kv.Store) { s.SetFaults(kv.Faults{LoseAnswers: true}) }, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := kv.New()
				var group conc.WaitGroup
				t.Cleanup(group.Wait)
				earlier, kill := context.WithCancel(t.Context())
				first := start(earlier, &group, s, "node_1")
				time.Sleep(time.Second)
				first.crashTwice(is)
				time.Sleep(time.Second) // the term of 10 s has begun
				test.disturb(s)
				kill()
				time.Sleep(2 * time.Second)
				second := start(t.Context(), &group, s, "node_1")
				time.Sleep(time.Second)
				record, ok := second.Record(bad)
				is.True(ok)
				is.Equal(record.Crashes, 2)
				is.Equal(record.Left.Round(time.Second), test.left)
				is.Equal(second.crash().Action, quarantine.Refuse)
				time.Sleep(test.left)
				is.Equal(second.crash().Action, quarantine.Run) // one more, after the term
				is.Equal(second.crash().RetryAfter, 2*quarantine.DefaultConfig.FirstTerm)
			})
		})
	}
}

// Guards against a process that starts while the store is down, and lets a request through again and again: its first crash tells it
// what the others know, once the store answers.
func TestCrashTellsAProcessWhatIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := kv.New()
		var group conc.WaitGroup
		t.Cleanup(group.Wait)
		first := start(t.Context(), &group, s, "node_1")
		time.Sleep(time.Second)
		first.crashTwice(is)
		time.Sleep(time.Second)
		s.SetFaults(kv.Faults{Down: true})
		second := start(t.Context(), &group, s, "node_2")
		time.Sleep(time.Second)
		is.Equal(second.crash().Action, quarantine.Run) // nobody could have told it
		s.SetFaults(kv.Faults{})
		time.Sleep(2 * time.Second)
		is.Equal(second.crash().Action, quarantine.Refuse)
		record, _ := second.Record(bad)
		is.Equal(record.Crashes, 3)
		third := start(t.Context(), &group, s, "node_3")
		time.Sleep(time.Second)
		record, _ = third.Record(bad)
		is.Equal(record.Crashes, 3) // the record counts all of them
	})
}

// Guards against records that stay in the store when the evidence is forgotten, and against those of requests that were running in
// a single crash.
func TestRecordsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := kv.New()
		var group conc.WaitGroup
		t.Cleanup(group.Wait)
		p := start(t.Context(), &group, s, "node_1")
		records := func() int {
			snapshot, err := s.ForNode("reader").List(t.Context(), crashrecord.Prefix)
			is.NoErr(err)
			return len(snapshot.Items)
		}
		is.Equal(p.crash().Action, quarantine.Run)
		time.Sleep(time.Second)
		is.Equal(records(), 0)
		is.Equal(p.crash().Action, quarantine.Run)
		time.Sleep(time.Second)
		is.Equal(records(), 1)
		time.Sleep(quarantine.DefaultConfig.Lifetime(2))
		is.Equal(records(), 0)
	})
}

// Guards against a process that is brought down, or made to refuse anything, by what somebody else has written.
func TestOddRecordsAreIgnored(t *testing.T) {
	for name, value := range map[string]string{
		"empty":              "",
		"no JSON":            "{",
		"null":               "null",
		"list":               "[]",
		"without service":    `{"hash":1,"crashes":2}`,
		"without hash":       `{"service":"sheets","crashes":2}`,
		"of another key":     `{"kind":"sheets","hash":1,"crashes":2}`,
		"fields of any type": `{"kind":7,"crashes":"many"}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := kv.New()
				s.ForcePut(crashrecord.Prefix+"1", []byte(value))
				var group conc.WaitGroup
				t.Cleanup(group.Wait)
				p := start(t.Context(), &group, s, "node_1")
				time.Sleep(time.Second)
				is.New(t).Equal(p.entries(), 0)
			})
		})
	}
}

// Guards against a process that asks the store again and again to replace a record that it can't read, and keeps no evidence.
func TestRecordThatCannotBeReadIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := kv.New()
		var group conc.WaitGroup
		t.Cleanup(group.Wait)
		first := start(t.Context(), &group, s, "node_1")
		time.Sleep(time.Second)
		first.crashTwice(is)
		time.Sleep(time.Second)
		snapshot, err := s.ForNode("reader").List(t.Context(), crashrecord.Prefix)
		is.NoErr(err)
		is.Equal(len(snapshot.Items), 1)
		s.ForcePut(snapshot.Items[0].Key, []byte("no record"))

		second := start(t.Context(), &group, s, "node_2")
		time.Sleep(time.Second)
		second.crashTwice(is)
		time.Sleep(time.Second)
		calls := s.Calls()
		time.Sleep(time.Minute)
		is.Equal(s.Calls(), calls)

		third := start(t.Context(), &group, s, "node_3")
		time.Sleep(time.Second)
		record, ok := third.Record(bad)
		is.True(ok)
		is.Equal(record.Crashes, 2)
	})
}
