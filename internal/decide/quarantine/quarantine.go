// Package quarantine decides which requests are refused because backend servers crash when they run them.
//
// A request is identified by its fingerprint: what its caller sends, without its key, so that a new key doesn't hide the request,
// and without any name that operators give it, so that a renamed or split route doesn't hide it either. When
// a backend server crashes, the requests that it was running become suspects, except for those that completed recently.
// Each backend server runs one suspect at a time, so that the next crash has a single suspect. After MaxCrashes crashes
// across the service that suspect is refused for a term, which doubles with each further crash. A suspect that
// completes is cleared, and evidence expires.
//
// # Usage
//
//	verdict := table.Begin(now, fingerprint, crashesSeenBySender)
//	if verdict.Action == quarantine.Run {
//		... run it ...
//		blame, blamed := table.End(now, fingerprint, started, quarantine.Broken)
//		// send the blame to the other nodes, which call table.Learn(now, blame)
//	}
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is what identifies a request: what its caller sends.
type Request struct {
	// Service is the service that the caller names, and Host the host. One of them is empty: the caller names the service, or
	// the host from which the service follows.
	Service, Host string
	Method        string
	// Path is the path with the query.
	Path string
	Body []byte
}

// Fingerprint identifies a request, regardless of its sender and its key.
type Fingerprint struct {
	// Service is the service that the caller names; empty if the service follows from the host and the path.
	Service string `json:"service"`
	// Hash is the hash of the host, the method, the path and the body. It is never 0.
	Hash uint64 `json:"hash"`
}

// NewFingerprint returns the fingerprint of the request.
func NewFingerprint(r Request) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Host, r.Method, r.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return Fingerprint{Service: r.Service, Hash: max(h.Sum64(), 1)}
}

// Config configures a Table.
type Config struct {
	// Node is the name of the local node.
	Node string
	// MaxCrashes is the number of crashes after which a request is quarantined.
	MaxCrashes int
	// FirstTerm is how long a request is refused at first. The term doubles with each further crash, up to MaxTerm.
	FirstTerm time.Duration
	MaxTerm   time.Duration
	// EvidenceLifetime is how long a crash counts, and how long a request stays suspected after its term.
	EvidenceLifetime time.Duration
	// GoodLifetime is how long a request that completed is not suspected.
	GoodLifetime time.Duration
	// CrashWindow is the time within which broken requests belong to the same crash.
	CrashWindow time.Duration
	// SuspectRetryAfter is the retry delay given to a suspect while another suspect runs.
	SuspectRetryAfter time.Duration
	// MaxEntries is the limit of suspects, and that of requests recorded as good.
	MaxEntries int
}

// DefaultConfig is the configuration used unless another is set.
var DefaultConfig = Config{
	MaxCrashes:        2,
	FirstTerm:         10 * time.Second,
	MaxTerm:           5 * time.Minute,
	EvidenceLifetime:  time.Minute,
	GoodLifetime:      10 * time.Second,
	CrashWindow:       100 * time.Millisecond,
	SuspectRetryAfter: 100 * time.Millisecond,
	MaxEntries:        8192,
}

// maxDoublings is the limit of doublings of a term.
const maxDoublings = 16

// TermOf returns how long a request is refused after the last of the crashes; 0 if there were fewer than MaxCrashes.
func (c Config) TermOf(crashes int) time.Duration {
	if crashes < c.MaxCrashes {
		return 0
	}
	term := c.FirstTerm
	for range min(crashes-c.MaxCrashes, maxDoublings) {
		term = min(2*term, c.MaxTerm)
	}
	return term
}

// Action is the decision about a request.
type Action int

// The actions.
const (
	// Run means that the request may run, and that End must be called when it ends.
	Run Action = iota
	// Refuse means that the request is quarantined.
	Refuse
	// RetryLater means that the backend server is running another suspect.
	RetryLater
)

// Verdict is the result of Table.Begin.
type Verdict struct {
	Action     Action
	RetryAfter time.Duration
}

// Ending is how a run ended.
type Ending int

// The endings.
const (
	// Inconclusive means that the request was refused, canceled or timed out, which is no evidence.
	Inconclusive Ending = iota
	// Answered means that the backend server answered, with any status.
	Answered
	// Broken means that the backend server broke the connection while it ran the request.
	Broken
)

// Blame is evidence against a request, as nodes send it to each other.
type Blame struct {
	Fingerprint Fingerprint
	// Crash identifies the crash; 0 if there is none.
	Crash uint64
	// Crashes is the number of known crashes; 0 only withdraws the record that the request completed.
	Crashes int
	// Term is how long the request is refused; 0 if it is only suspected.
	Term time.Duration
}

// Entry is the evidence against one request.
type Entry struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Crashes     int           `json:"crashes"`
	Term        time.Duration `json:"term"`
	Until       time.Time     `json:"until"`
	Expires     time.Time     `json:"expires"`
	// Reason is why the request is restricted. Evidence holds the latest crashes, newest last.
	Reason   Reason     `json:"reason"`
	Evidence []Evidence `json:"evidence"`

	// crashIDs are the identifiers of the known crashes. Crashes may be larger, because for some crashes only the count
	// is known.
	crashIDs map[uint64]bool
}

// addCrash adds a crash and reports whether it is new.
func (e *Entry) addCrash(crash uint64) bool {
	if crash == 0 || e.crashIDs[crash] {
		return false
	}
	e.crashIDs[crash] = true
	e.Crashes = max(e.Crashes, len(e.crashIDs))
	return true
}

// Table holds the evidence known to one node.
type Table struct {
	config  Config
	entries map[Fingerprint]*Entry
	good    map[Fingerprint]time.Time
	running map[Fingerprint]int
	// suspect is the suspect that is running, or zero.
	suspect   Fingerprint
	lastCrash crashRecord
}

// crashRecord is the latest crash of the backend server.
type crashRecord struct {
	id uint64
	at time.Time
	// suspect is the suspect that was running at the crash, or zero.
	suspect Fingerprint
	// exempt are the requests that are not blamed for the crash, because they had completed recently.
	exempt map[Fingerprint]bool
}

// NewTable returns a table without evidence.
func NewTable(config Config) *Table {
	return &Table{
		config:  config,
		entries: map[Fingerprint]*Entry{},
		good:    map[Fingerprint]time.Time{},
		running: map[Fingerprint]int{},
	}
}

// Begin decides whether the request may run. crashes is the number of attempts of the request that ended with a crash,
// as observed by the request's sender.
func (t *Table) Begin(now time.Time, f Fingerprint, crashes int) Verdict {
	if crashes > 0 && !t.isGood(now, f) {
		t.Learn(now, Blame{Fingerprint: f, Crashes: crashes})
	}
	e := t.entry(now, f)
	if e != nil && now.Before(e.Until) {
		return Verdict{Action: Refuse, RetryAfter: e.Until.Sub(now)}
	}
	if e != nil && t.suspect != (Fingerprint{}) {
		return Verdict{Action: RetryLater, RetryAfter: t.config.SuspectRetryAfter}
	}
	if e != nil {
		t.suspect = f
	}
	t.running[f]++
	return Verdict{Action: Run}
}

// End records how a run that began at the given time ended. If it reports true, the blame must be sent to the other
// nodes.
func (t *Table) End(now time.Time, f Fingerprint, began time.Time, ending Ending) (Blame, bool) {
	if ending == Broken {
		t.noteCrash(now, began)
	}
	t.endRun(f)
	switch ending {
	case Answered:
		t.clearSuspicion(now, f)
	case Broken:
		return t.attributeCrash(now, f)
	}
	return Blame{}, false
}

// Learn records evidence from another node.
func (t *Table) Learn(now time.Time, b Blame) {
	if !b.Fingerprint.isValid() {
		return
	}
	delete(t.good, b.Fingerprint)
	if b.Crashes <= 0 {
		return
	}
	e := t.entry(now, b.Fingerprint)
	if e == nil {
		e = t.add(now, b.Fingerprint)
	}
	isNew := e.addCrash(b.Crash)
	if isNew || b.Crashes > e.Crashes {
		e.addEvidence(Evidence{Crash: b.Crash, Source: Reported, At: now})
	}
	if !isNew && b.Crashes <= e.Crashes && b.Term <= e.Term {
		return
	}
	e.Crashes = max(e.Crashes, b.Crashes)
	t.updateTerm(now, e, b.Term)
}

// Entries returns the evidence against all requests.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, e.withReason(t.config.MaxCrashes))
	}
	return entries
}

func (f Fingerprint) isValid() bool {
	return f.Hash != 0
}

// noteCrash records a crash, and which suspect was running, when the first request breaks. Requests that break later in
// the same crash don't change the record.
func (t *Table) noteCrash(now, began time.Time) {
	if now.Sub(t.lastCrash.at) <= t.config.CrashWindow && began.Before(t.lastCrash.at) {
		return
	}
	t.lastCrash = crashRecord{id: t.newCrashID(now), at: now, suspect: t.suspect, exempt: map[Fingerprint]bool{}}
}

func (t *Table) newCrashID(now time.Time) uint64 {
	return xxhash.Sum64String(t.config.Node + now.Format(time.RFC3339Nano))
}

// attributeCrash attributes the crash to the running suspect, or if there was none, to every request that did not
// complete recently.
func (t *Table) attributeCrash(now time.Time, f Fingerprint) (Blame, bool) {
	if t.lastCrash.exempt[f] || t.lastCrash.suspect != (Fingerprint{}) && t.lastCrash.suspect != f {
		return Blame{}, false
	}
	if t.isGood(now, f) {
		t.lastCrash.exempt[f] = true
		delete(t.good, f) // a second crash before the request completes again counts
		return Blame{Fingerprint: f}, true
	}
	e := t.entry(now, f)
	if e == nil {
		e = t.add(now, f)
	}
	if !e.addCrash(t.lastCrash.id) {
		return Blame{}, false
	}
	e.addEvidence(Evidence{Crash: t.lastCrash.id, Source: ObservedLocally, At: now})
	t.updateTerm(now, e, 0)
	return Blame{Fingerprint: f, Crash: t.lastCrash.id, Crashes: e.Crashes, Term: e.Term}, true
}

// updateTerm extends the expiry of the evidence, and the term if there were enough crashes.
func (t *Table) updateTerm(now time.Time, e *Entry, term time.Duration) {
	e.Expires = now.Add(t.config.EvidenceLifetime)
	if e.Crashes < t.config.MaxCrashes {
		return
	}
	e.Term = min(max(t.config.TermOf(e.Crashes), term), t.config.MaxTerm)
	e.Until = now.Add(e.Term)
	e.Expires = e.Until.Add(t.config.EvidenceLifetime)
}

func (t *Table) clearSuspicion(now time.Time, f Fingerprint) {
	delete(t.entries, f)
	if len(t.good) >= t.config.MaxEntries {
		t.good = map[Fingerprint]time.Time{}
	}
	t.good[f] = now
}

func (t *Table) endRun(f Fingerprint) {
	t.running[f]--
	if t.running[f] > 0 {
		return
	}
	delete(t.running, f)
	if t.suspect == f {
		t.suspect = Fingerprint{}
	}
}

func (t *Table) isGood(now time.Time, f Fingerprint) bool {
	at, ok := t.good[f]
	return ok && now.Sub(at) <= t.config.GoodLifetime
}

// entry returns the unexpired entry of the request, or nil.
func (t *Table) entry(now time.Time, f Fingerprint) *Entry {
	e, ok := t.entries[f]
	if !ok {
		return nil
	}
	if now.After(e.Expires) {
		delete(t.entries, f)
		return nil
	}
	return e
}

func (t *Table) add(now time.Time, f Fingerprint) *Entry {
	if len(t.entries) >= t.config.MaxEntries {
		t.makeRoom(now)
	}
	e := &Entry{Fingerprint: f, Expires: now.Add(t.config.EvidenceLifetime), crashIDs: map[uint64]bool{}}
	t.entries[f] = e
	return e
}

// makeRoom drops expired entries, and then any others until the table is below its limit.
func (t *Table) makeRoom(now time.Time) {
	for f, e := range t.entries {
		if now.After(e.Expires) {
			delete(t.entries, f)
		}
	}
	for f := range t.entries {
		if len(t.entries) < t.config.MaxEntries {
			return
		}
		delete(t.entries, f)
	}
}
