// Package roster decides which nodes are members, from their entries in the platform's store. A node writes its entry
// under a lease. The entry is therefore deleted when the node dies, but also when only the node's connection to the
// store is lost. If an entry is deleted although its node did not announce that it leaves, the member becomes
// unconfirmed: it stays for a time, and a sender stops using it after the first failure.
//
// # Usage
//
//	r := roster.New(roster.DefaultConfig)
//	r.Replace(now, entries)
//	r.Apply(now, roster.Change{Entry: entry})
//	members := r.Members(now)
//
// The package does no I/O and reads no clock. A Roster is not safe for concurrent use.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// Config configures a Roster.
type Config struct {
	// KeepUnconfirmed is how long a member without an entry is kept.
	KeepUnconfirmed time.Duration
}

// DefaultConfig is the configuration used unless another is set.
var DefaultConfig = Config{KeepUnconfirmed: 30 * time.Second}

const (
	// delayPerMember is what each member adds to the delay between two reads of the changes. All members read each
	// change. Without a delay that grows with the fleet, the calls to the store would grow with the square of the
	// fleet.
	delayPerMember = 15 * time.Millisecond
	// minDelay lets the entries of a starting fleet arrive together. maxDelay limits how late a change is seen.
	minDelay = 150 * time.Millisecond
	maxDelay = 1500 * time.Millisecond
)

// CoalesceDelay returns the delay between two reads of the changes, in a fleet with the given number of members.
func CoalesceDelay(members int) time.Duration {
	return min(max(time.Duration(members)*delayPerMember, minDelay), maxDelay)
}

// Entry is the entry of one node in the store.
type Entry struct {
	Key      string
	Revision uint64
	Member   membership.Member
}

// Change is one change of an entry.
type Change struct {
	Entry
	Deleted bool
}

// Roster is the list of members known to one node.
type Roster struct {
	config  Config
	entries map[string]*trackedMember
	// departures holds the backend servers that have said that they leave, by the key of the entry.
	departures map[string]departure
	// deletions holds the deleted entries, by their key. A list that is some seconds old may still hold them.
	deletions map[string]deletion
}

// deletion is the revision at which an entry was deleted.
type deletion struct {
	revision  uint64
	learnedAt time.Time
}

// departure is the start of a backend server that has said that it leaves.
type departure struct {
	backendStart string
	learnedAt    time.Time
}

// trackedMember is one member.
type trackedMember struct {
	Entry
	// lapsedAt is when the entry was deleted; zero while it exists.
	lapsedAt time.Time
}

// New returns an empty roster.
func New(config Config) *Roster {
	return &Roster{config: config, entries: map[string]*trackedMember{}, departures: map[string]departure{}, deletions: map[string]deletion{}}
}

// Replace replaces the known entries by those that the store holds now. A member without an entry becomes unconfirmed,
// or is dropped if it was leaving.
func (r *Roster) Replace(now time.Time, entries []Entry) {
	held := make(map[string]bool, len(entries))
	for _, e := range entries {
		held[e.Key] = true
		r.put(now, e)
	}
	for key := range r.entries {
		if !held[key] {
			r.markLapsed(now, key)
		}
	}
}

// ForgetRevisions makes the next entry of each member count, whatever its revision is. It is for a store that was restored
// from a copy, so that its revisions have gone back.
func (r *Roster) ForgetRevisions() {
	for _, k := range r.entries {
		k.Revision = 0
	}
	clear(r.deletions)
}

// Apply applies one change. A change that is older than the known entry has no effect.
func (r *Roster) Apply(now time.Time, c Change) {
	if before, ok := r.entries[c.Key]; ok && c.Revision < before.Revision {
		return
	}
	if c.Deleted {
		r.deletions[c.Key] = deletion{revision: c.Revision, learnedAt: now}
		r.markLapsed(now, c.Key)
		return
	}
	r.put(now, c.Entry)
}

func (r *Roster) put(now time.Time, e Entry) {
	before, ok := r.entries[e.Key]
	if ok && e.Revision < before.Revision || e.Revision < r.deletions[e.Key].revision {
		return
	}
	delete(r.deletions, e.Key)
	r.keepDeparture(now, &e)
	r.dropReplacedAt(e)
	r.entries[e.Key] = &trackedMember{Entry: e}
}

// keepDeparture makes the member leave if its backend server has said that it leaves. A node that has restarted beside the
// backend server may not know that.
func (r *Roster) keepDeparture(now time.Time, e *Entry) {
	start := e.Member.BackendStart
	if start == "" {
		return
	}
	if e.Member.BackendLeaving {
		r.departures[e.Key] = departure{backendStart: start, learnedAt: now}
	}
	if r.departures[e.Key].backendStart == start {
		e.Member.State, e.Member.BackendLeaving = membership.Leaving, true
	}
}

// dropReplacedAt drops the members whose peer address now belongs to the entry's node, even before their own entries
// are deleted. A node that started earlier than a member replaces no member.
func (r *Roster) dropReplacedAt(e Entry) {
	for key, k := range r.entries {
		if key != e.Key && k.Member.PeerAddress == e.Member.PeerAddress && k.Revision < e.Revision && k.Member.Incarnation <= e.Member.Incarnation {
			delete(r.entries, key)
		}
	}
}

func (r *Roster) markLapsed(now time.Time, key string) {
	k, ok := r.entries[key]
	switch {
	case !ok:
	case k.Member.State != membership.Up:
		delete(r.entries, key)
	case k.lapsedAt.IsZero():
		k.lapsedAt = now
	}
}

// Members returns the members, sorted by name. Members without an entry are marked unconfirmed.
func (r *Roster) Members(now time.Time) []membership.Member {
	for key, d := range r.departures {
		if _, present := r.entries[key]; !present && now.Sub(d.learnedAt) > r.config.KeepUnconfirmed {
			delete(r.departures, key)
		}
	}
	for key, d := range r.deletions {
		if now.Sub(d.learnedAt) > r.config.KeepUnconfirmed {
			delete(r.deletions, key)
		}
	}
	var members []membership.Member
	for key, k := range r.entries {
		if !k.lapsedAt.IsZero() && now.Sub(k.lapsedAt) > r.config.KeepUnconfirmed {
			delete(r.entries, key)
			continue
		}
		m := k.Member
		m.Unconfirmed = !k.lapsedAt.IsZero()
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b membership.Member) int { return strings.Compare(a.Node, b.Node) })
	return members
}
