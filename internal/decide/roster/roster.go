// Package roster decides which nodes are members, from their entries in the platform's store. A node writes its own
// entry under a lease, so an entry goes away when its node dies, but also when only the way to the store is lost. An
// entry that went without its node having said that it leaves makes the member unconfirmed: it stays for a time, and
// who sends requests to it gives it up at the first failure.
//
// # Usage
//
//	r := roster.New(roster.DefaultConfig)
//	r.Replace(now, entries)
//	r.Apply(now, roster.Change{Key: key, Entry: entry})
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

// Config sets a Roster up.
type Config struct {
	// KeepUnconfirmed is how long a member without an entry is kept.
	KeepUnconfirmed time.Duration
}

// DefaultConfig holds where nothing else is set.
var DefaultConfig = Config{KeepUnconfirmed: 30 * time.Second}

const (
	// delayPerMember is what each member adds to the pause between two looks at what has changed. All members look at each
	// change, so that without it the calls to the store would grow with the square of the fleet.
	delayPerMember = 15 * time.Millisecond
	// minDelay lets the entries of a fleet that starts come together, and mostSettle bounds how late a change is known.
	minDelay = 150 * time.Millisecond
	maxDelay = 1500 * time.Millisecond
)

// CoalesceDelay returns the pause between two looks at what has changed, in a fleet of so many members.
func CoalesceDelay(members int) time.Duration {
	return min(max(time.Duration(members)*delayPerMember, minDelay), maxDelay)
}

// Entry is what the store holds of one node.
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

// Roster is what one node knows of all members.
type Roster struct {
	config  Config
	entries map[string]*trackedMember
}

// trackedMember is one member.
type trackedMember struct {
	Entry
	// lapsedAt is when its entry went; zero while the entry is there.
	lapsedAt time.Time
}

// New returns an empty roster.
func New(config Config) *Roster {
	return &Roster{config: config, entries: map[string]*trackedMember{}}
}

// Replace takes in all entries that the store holds now.
func (r *Roster) Replace(now time.Time, entries []Entry) {
	held := make(map[string]bool, len(entries))
	for _, e := range entries {
		held[e.Key] = true
		r.put(e)
	}
	for key := range r.entries {
		if !held[key] {
			r.markLapsed(now, key)
		}
	}
}

// Apply takes in one change. One that is older than what is known does nothing.
func (r *Roster) Apply(now time.Time, c Change) {
	if before, ok := r.entries[c.Key]; ok && c.Revision < before.Revision {
		return
	}
	if c.Deleted {
		r.markLapsed(now, c.Key)
		return
	}
	r.put(c.Entry)
}

func (r *Roster) put(e Entry) {
	before, ok := r.entries[e.Key]
	if ok && e.Revision < before.Revision {
		return
	}
	r.dropReplacedAt(e)
	r.entries[e.Key] = &trackedMember{Entry: e}
}

// dropReplacedAt forgets the members whose peer address now belongs to another node, also before their own entries go.
func (r *Roster) dropReplacedAt(e Entry) {
	for key, k := range r.entries {
		if key != e.Key && k.Member.PeerAddress == e.Member.PeerAddress && k.Revision < e.Revision {
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

// Members returns the members by name. Those without an entry are marked unconfirmed.
func (r *Roster) Members(now time.Time) []membership.Member {
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
