// Package quarantine decides which requests are refused because backend servers crash when they run them.
//
// A request is known by its fingerprint, which leaves its key out, so that a new key doesn't hide it. When a backend
// server crashes, the requests that were running become suspects, but for those that ran well lately. Suspects run
// one at a time on each backend server, so that the next crash has one suspect: after MaxCrashes crashes across the
// service that one is refused for a term, which doubles each time. A suspect that runs well is cleared, and evidence
// expires.
//
// # Usage
//
//	verdict := table.Begin(now, fingerprint, crashesCarried)
//	if verdict.Action == quarantine.Run {
//		... run it ...
//		blame, blamed := table.End(now, fingerprint, started, quarantine.Broken)
//		// tell the other nodes, which call table.Learn(now, blame)
//	}
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names a request, whoever sends it and under whichever key.
type Fingerprint struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Hash    uint64 `json:"hash"`
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(service, kind, method, path string, body []byte) Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(method)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(path)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Fingerprint{Service: service, Kind: kind, Hash: h.Sum64()}
}

// Config sets a Table up.
type Config struct {
	// Node is the node's own name.
	Node string
	// MaxCrashes is how many crashes quarantine a request.
	MaxCrashes int
	// FirstTerm is the first time of refusal; it doubles with each further crash up to MaxTerm.
	FirstTerm time.Duration
	MaxTerm   time.Duration
	// EvidenceLifetime is how long a crash counts, and how long a request stays known after its term.
	EvidenceLifetime time.Duration
	// GoodLifetime is how long a request that ran well is not suspected.
	GoodLifetime time.Duration
	// CrashWindow is the time within which broken requests belong to one crash.
	CrashWindow time.Duration
	// SuspectRetryAfter is when to come back while another suspect runs.
	SuspectRetryAfter time.Duration
	// MaxEntries bounds the suspects, and the requests remembered as good.
	MaxEntries int
}

// DefaultConfig holds where nothing else is set.
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

// Action is what becomes of a request.
type Action int

// The actions.
const (
	// Run means that the request may run; End must follow.
	Run Action = iota
	// Refuse means that the request is quarantined.
	Refuse
	// RetryLater means that another suspect is running on this backend server.
	RetryLater
)

// Verdict answers Begin.
type Verdict struct {
	Action     Action
	RetryAfter time.Duration
}

// Ending is how a run ended.
type Ending int

// The endings.
const (
	// Inconclusive tells nothing: the request was refused, canceled or ran out of time.
	Inconclusive Ending = iota
	// Answered means that the backend server answered, with whatever status.
	Answered
	// Broken means that the backend server broke the connection in the middle.
	Broken
)

// Blame is the evidence against a request, as nodes tell it to each other.
type Blame struct {
	Fingerprint Fingerprint
	// Crash tells this crash from all others; 0 for none.
	Crash uint64
	// Crashes is the number of crashes known; 0 only takes back that the request ran well.
	Crashes int
	// Term is the time of refusal; 0 while the request is only suspected.
	Term time.Duration
}

// Entry is what is known against one request.
type Entry struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Crashes     int           `json:"crashes"`
	Term        time.Duration `json:"term"`
	Until       time.Time     `json:"until"`
	Expires     time.Time     `json:"expires"`
	// Reason says why the request is held, and Evidence are the latest crashes, the newest last.
	Reason   Reason     `json:"reason"`
	Evidence []Evidence `json:"evidence"`

	// crashIDs are the crashes by which they are told apart. Crashes may be more, where some are only known by number.
	crashIDs map[uint64]bool
}

// addCrash adds a crash and reports whether it was not known.
func (e *Entry) addCrash(crash uint64) bool {
	if crash == 0 || e.crashIDs[crash] {
		return false
	}
	e.crashIDs[crash] = true
	e.Crashes = max(e.Crashes, len(e.crashIDs))
	return true
}

// Table holds what one node knows.
type Table struct {
	config  Config
	entries map[Fingerprint]*Entry
	good    map[Fingerprint]time.Time
	running map[Fingerprint]int
	// suspect is the suspect that runs now, if any.
	suspect   Fingerprint
	lastCrash crashRecord
}

// crashRecord is the latest crash of the backend server.
type crashRecord struct {
	id uint64
	at time.Time
	// suspect was running then, if any.
	suspect Fingerprint
	// exempt are the requests that are not blamed for it, since they ran well before.
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

// Begin asks whether the request may run. The crashes are those that its sender has seen it go through.
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

// End takes in how a run that began at the given time ended. Where it reports true, the other nodes are to be told of
// the blame.
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

// Learn takes in what another node knows.
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
	fresh := e.addCrash(b.Crash)
	if fresh || b.Crashes > e.Crashes {
		e.addEvidence(Evidence{Crash: b.Crash, Source: Reported, At: now})
	}
	if !fresh && b.Crashes <= e.Crashes && b.Term <= e.Term {
		return
	}
	e.Crashes = max(e.Crashes, b.Crashes)
	t.updateTerm(now, e, b.Term)
}

// Entries returns what is known against all requests.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, e.withReason(t.config.MaxCrashes))
	}
	return entries
}

func (f Fingerprint) isValid() bool {
	return f.Service != "" && f.Kind != ""
}

// noteCrash notes which suspect was running when the first request of a crash broke.
func (t *Table) noteCrash(now, began time.Time) {
	if now.Sub(t.lastCrash.at) <= t.config.CrashWindow && began.Before(t.lastCrash.at) {
		return
	}
	t.lastCrash = crashRecord{id: t.newCrashID(now), at: now, suspect: t.suspect, exempt: map[Fingerprint]bool{}}
}

func (t *Table) newCrashID(now time.Time) uint64 {
	return xxhash.Sum64String(t.config.Node + now.Format(time.RFC3339Nano))
}

// attributeCrash charges the crash: to the suspect alone if one was running, else to all that did not run well lately.
func (t *Table) attributeCrash(now time.Time, f Fingerprint) (Blame, bool) {
	if t.lastCrash.exempt[f] || t.lastCrash.suspect != (Fingerprint{}) && t.lastCrash.suspect != f {
		return Blame{}, false
	}
	if t.isGood(now, f) {
		t.lastCrash.exempt[f] = true
		delete(t.good, f) // a second crash before it runs well again counts
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

// updateTerm renews the expiry, and the term of refusal where there were enough crashes.
func (t *Table) updateTerm(now time.Time, e *Entry, term time.Duration) {
	e.Expires = now.Add(t.config.EvidenceLifetime)
	if e.Crashes < t.config.MaxCrashes {
		return
	}
	own := t.config.FirstTerm
	for range min(e.Crashes-t.config.MaxCrashes, maxDoublings) {
		own = min(2*own, t.config.MaxTerm)
	}
	e.Term = min(max(own, term), t.config.MaxTerm)
	e.Until = now.Add(e.Term)
	e.Expires = e.Until.Add(t.config.EvidenceLifetime)
}

// maxDoublings bounds the doublings of a term.
const maxDoublings = 16

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

// entry returns the evidence that has not expired, or nil.
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

// makeRoom makes room, by force where nothing has expired.
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
