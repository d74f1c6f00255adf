package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Record is the evidence against a quarantined request, as it is kept outside the process.
type Record struct {
	Fingerprint Fingerprint
	// Crashes is the number of known crashes, and CrashIDs are the identifiers of those that have one.
	Crashes  int
	CrashIDs []uint64
	// Left is how long the request is still refused.
	Left time.Duration
}

// Lifetime returns how long a record of the number of crashes is worth keeping after the last one.
func (c Config) Lifetime(crashes int) time.Duration {
	return c.TermOf(crashes) + c.EvidenceLifetime
}

// Record returns the evidence against the request. It reports false if the request was not quarantined.
func (t *Table) Record(now time.Time, f Fingerprint) (Record, bool) {
	e := t.entry(now, f)
	if e == nil || e.Crashes < t.config.MaxCrashes {
		return Record{}, false
	}
	return Record{
		Fingerprint: f,
		Crashes:     e.Crashes,
		CrashIDs:    slices.Sorted(maps.Keys(e.crashIDs)),
		Left:        max(e.Until.Sub(now), 0),
	}, true
}

// Restore adds the evidence of a record, which other nodes, or an earlier process of this one, have kept. Crashes that are known
// here and not in the record add up with it.
func (t *Table) Restore(now time.Time, r Record) {
	if !r.Fingerprint.isValid() || r.Crashes < t.config.MaxCrashes {
		return
	}
	delete(t.good, r.Fingerprint)
	e := t.entry(now, r.Fingerprint)
	if e == nil {
		e = t.add(now, r.Fingerprint)
	}
	crashes := r.Crashes
	for id := range e.crashIDs {
		if !slices.Contains(r.CrashIDs, id) {
			crashes++
		}
	}
	left := min(r.Left, t.config.TermOf(r.Crashes))
	if crashes > r.Crashes {
		left = t.config.TermOf(crashes)
	}
	for _, id := range r.CrashIDs {
		e.addCrash(id)
	}
	if crashes > e.Crashes {
		e.addEvidence(Evidence{Source: Reported, At: now})
	}
	e.Crashes = max(e.Crashes, crashes)
	e.Term = max(e.Term, t.config.TermOf(e.Crashes))
	e.Until = latest(e.Until, now.Add(left))
	e.Expires = latest(e.Expires, e.Until.Add(t.config.EvidenceLifetime))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
