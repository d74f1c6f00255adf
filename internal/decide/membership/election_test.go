package membership_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

const (
	heartbeatPeriod = 250 * time.Millisecond
	leaseTTL        = 1500 * time.Millisecond
	followTimeout   = 750 * time.Millisecond
	retryInterval   = 2 * time.Second
)

// zone simulates the elections of one availability zone with explicit times, and a platform that grants one lease.
type zone struct {
	now         time.Time
	names       []string
	election    map[string]*membership.Election
	role        map[string]membership.Role
	stopped     map[string]bool
	partitioned map[[2]string]bool

	platformDown bool
	reads        int
	term         uint64
	holder       string
	until        time.Time
}

func newZone(names ...string) *zone {
	z := &zone{
		now:         time.Unix(1_800_000_000, 0),
		names:       names,
		election:    map[string]*membership.Election{},
		role:        map[string]membership.Role{},
		stopped:     map[string]bool{},
		partitioned: map[[2]string]bool{},
	}
	for _, n := range names {
		z.start(n)
	}
	return z
}

func (z *zone) start(name string) {
	z.stopped[name] = false
	z.role[name] = membership.Following
	z.election[name] = membership.NewElection(membership.ElectionConfig{
		Node: name, FollowTimeout: followTimeout, RetryInterval: retryInterval, Candidates: 3,
	})
}

func (z *zone) run(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(heartbeatPeriod) {
		for _, n := range z.names {
			if !z.stopped[n] {
				z.step(n)
			}
		}
	}
}

func (z *zone) step(name string) {
	e := z.election[name]
	plan := e.Plan(z.now, z.members())
	z.role[name] = plan.Role
	for _, t := range plan.HeartbeatTargets {
		if z.stopped[t.Node] || z.partitioned[[2]string{name, t.Node}] || z.partitioned[[2]string{t.Node, name}] {
			e.RecordFailure(z.now, t)
			continue
		}
		e.RecordReply(z.now, t, z.answer(t.Node))
	}
	if plan.Role == membership.Leading {
		z.renew(name)
	}
	if plan.ReadPlatform {
		z.read(name)
	}
}

func (z *zone) answer(name string) membership.ElectionState {
	a := membership.ElectionState{Leads: z.role[name] != membership.Following, Leased: z.role[name] == membership.Leading}
	if followed, leads, leased := z.election[name].Followed(z.now); leads && !a.Leads {
		a.Leader, a.Leased = followed, leased
	}
	return a
}

func (z *zone) renew(name string) {
	if z.platformDown || z.holder != name {
		z.election[name].RecordPlatformUnreachable()
		return
	}
	z.until = z.now.Add(leaseTTL)
	z.election[name].RecordLeaseRenewed(z.until)
}

func (z *zone) read(name string) {
	z.reads++
	switch {
	case z.platformDown:
		z.election[name].RecordPlatformUnreachable()
	case z.now.Before(z.until) && z.holder != name:
		z.election[name].RecordPlatformLeader(membership.Target{Node: z.holder, Address: z.holder})
	default:
		z.term++
		z.holder, z.until = name, z.now.Add(leaseTTL)
		z.election[name].RecordLeaseGranted(membership.Lease{Term: z.term, Until: z.until})
	}
}

func (z *zone) members() []membership.Member {
	var members []membership.Member
	for _, n := range z.names {
		members = append(members, membership.Member{Node: n, PeerAddress: n})
	}
	return members
}

// leaders returns the running nodes in the given role.
func (z *zone) leaders(role membership.Role) []string {
	var found []string
	for _, n := range z.names {
		if !z.stopped[n] && z.role[n] == role {
			found = append(found, n)
		}
	}
	return found
}

// isolate cuts the connections between two groups of nodes.
func (z *zone) isolate(a, b []string) {
	for _, x := range a {
		for _, y := range b {
			z.partitioned[[2]string{x, y}] = true
			z.partitioned[[2]string{y, x}] = true
		}
	}
}

func TestElection(t *testing.T) {
	for name, c := range map[string]struct {
		// disturb runs after the zone has settled under a lease.
		disturb   func(z *zone, leader string)
		within    time.Duration
		leading   int
		spreading int
	}{
		"undisturbed":          {disturb: func(*zone, string) {}, within: time.Second, leading: 1},
		"leader stops":         {disturb: func(z *zone, l string) { z.stopped[l] = true }, within: 2 * time.Second, leading: 1},
		"platform unreachable": {disturb: func(z *zone, _ string) { z.platformDown = true }, within: 2 * time.Second, spreading: 1},
		"both":                 {disturb: func(z *zone, l string) { z.platformDown, z.stopped[l] = true, true }, within: 2 * time.Second, spreading: 1},
		"platform unreachable and three nodes stop": {disturb: func(z *zone, _ string) {
			z.platformDown, z.stopped["a"], z.stopped["b"], z.stopped["c"] = true, true, true, true
		}, within: 4 * time.Second, spreading: 1},
		"platform unreachable and zone split": {disturb: func(z *zone, _ string) {
			z.platformDown = true
			z.isolate([]string{"a", "b"}, []string{"c", "d", "e", "f"})
		}, within: 4 * time.Second, spreading: 2},
		"leader restarts": {disturb: func(z *zone, l string) { z.start(l) }, within: 2 * time.Second, leading: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone("a", "b", "c", "d", "e", "f")
			z.run(5 * time.Second)
			leaders := z.leaders(membership.Leading)
			is.Equal(len(leaders), 1)
			c.disturb(z, leaders[0])
			z.run(c.within)
			is.Equal(len(z.leaders(membership.Leading)), c.leading)
			is.Equal(len(z.leaders(membership.Spreading)), c.spreading)

			z.platformDown = false
			clear(z.partitioned)
			z.run(5 * time.Second)
			is.Equal(len(z.leaders(membership.Leading)), 1) // exactly one lease after the recovery
			is.Equal(len(z.leaders(membership.Spreading)), 0)
			z.reads = 0
			z.run(time.Minute)
			is.Equal(z.reads, 0) // the followers of a settled zone do not read the platform
		})
	}
}

func TestFollowerFollowsThroughRelay(t *testing.T) {
	is := is.New(t)
	z := newZone("a", "b", "c", "d", "e", "f")
	z.run(5 * time.Second)
	leader := z.leaders(membership.Leading)[0]
	z.isolate([]string{leader}, []string{"f"})
	z.run(5 * time.Second)
	followed, leads, leased := z.election["f"].Followed(z.now)
	is.True(followed.Node != "" && followed.Node != leader)
	is.True(!leads && leased)
	is.Equal(z.leaders(membership.Leading), []string{leader})
	clear(z.partitioned)
	z.run(5 * time.Second)
	followed, leads, _ = z.election["f"].Followed(z.now)
	is.Equal(followed.Node, leader)
	is.True(leads)
}

func TestPausedLeaderDoesNotHoldItsLease(t *testing.T) {
	is := is.New(t)
	z := newZone("a", "b", "c")
	z.run(5 * time.Second)
	paused := z.leaders(membership.Leading)[0]
	z.stopped[paused] = true
	z.run(3 * time.Second)
	is.True(!z.election[paused].HoldsLease(z.now))
	z.stopped[paused] = false
	z.run(3 * time.Second)
	is.Equal(len(z.leaders(membership.Leading)), 1)
	is.True(!slices.Contains(z.leaders(membership.Leading), paused))
}

func record(key string, sequence uint64) membership.Record {
	return membership.Record{Key: key, Version: membership.Version{Sequence: sequence}, Value: []byte(key)}
}

func recordsOf(changes []membership.Change) []membership.Record {
	var records []membership.Record
	for _, c := range changes {
		records = append(records, c.Record)
	}
	return records
}

func TestRecordsSince(t *testing.T) {
	is := is.New(t)
	s := membership.NewRecords()
	s.Merge(record("a", 1), record("b", 1), record("a", 2), record("a", 1))
	newer, next := s.Since(0, 100, nil)
	is.Equal(recordsOf(newer), []membership.Record{record("b", 1), record("a", 2)}) // each record once, in its newest version
	is.Equal(next, s.LastChange())
	newer, next = s.Since(0, 1, nil)
	is.Equal(len(newer), 1) // only what fits into maxBytes
	newer, next = s.Since(next, 1, nil)
	is.Equal(recordsOf(newer), []membership.Record{record("a", 2)})
	is.Equal(next, s.LastChange())
	for i := range uint64(1000) {
		s.Merge(record("a", i))
	}
	newer, _ = s.Since(0, 100, nil)
	is.Equal(recordsOf(newer), []membership.Record{record("b", 1), record("a", 999)}) // also after compaction
}

func TestPatches(t *testing.T) {
	is := is.New(t)
	value := func(until int) []byte { return fmt.Appendf(bytes.Repeat([]byte("x"), 500), "%d%500d", until, 0) }
	long := func(sequence uint64, until int) membership.Record {
		return membership.Record{Key: "homes/a", Version: membership.Version{Sequence: sequence}, Value: value(until)}
	}
	s := membership.NewRecords(membership.RenewalRule{Prefix: "homes/"})
	s.Merge(long(1, 100))
	seen, digest := s.LastChange(), s.Digest()
	s.Merge(long(2, 207))
	is.Equal(s.Digest(), digest) // renewals are left out of the digests
	changes, _ := s.Since(seen, 1<<20, nil)
	is.True(changes[0].Patched)
	is.True(len(changes[0].Patch.Middle) <= 3)
	made, ok := changes[0].Patch.Apply(long(1, 100))
	is.True(ok)
	is.Equal(made, long(2, 207))
	other := long(1, 100)
	other.Value[0] = 'y'
	_, ok = changes[0].Patch.Apply(other) // another value with the same version
	is.True(!ok)
	_, ok = changes[0].Patch.Apply(long(3, 100)) // another version
	is.True(!ok)
	_, ok = changes[0].Patch.Apply(membership.Record{})
	is.True(!ok)
	changes, _ = s.Since(0, 1<<20, nil)
	is.True(!changes[0].Patched) // a receiver that has not seen the earlier value gets the whole record
}

// TestRenewalsStayInTheirZone guards against renewals that reach other availability zones and against patches that do
// not apply. Two zones renew a record at random; one reader gets all renewals and the other gets only the structural
// changes.
func TestRenewalsStayInTheirZone(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		structure := func(value []byte) membership.Structure {
			return membership.Structure{Term: uint64(value[0]), Zone: string(value[1])}
		}
		s := membership.NewRecords(membership.RenewalRule{Prefix: "homes/", Structure: structure})
		all, none := newReader(s, nil), newReader(s, func(string) bool { return false })
		value := append([]byte{1, 'a'}, bytes.Repeat([]byte("x"), 200)...)
		structural := 0
		for i := range uint64(200) {
			value = bytes.Clone(value)
			value[100] = byte(i) // a renewal changes only the end
			if random.IntN(10) == 0 || i == 0 {
				structural++
				value[0], value[1] = byte(structural), byte('a'+random.IntN(2))
			}
			s.Merge(membership.Record{Key: "homes/a", Version: membership.Version{Epoch: i + 1}, Value: value}, record("b", i))
			if random.IntN(3) == 0 {
				all.read(is)
				none.read(is)
			}
		}
		all.read(is)
		none.read(is)
		held, _ := s.Get("homes/a")
		is.Equal(all.held["homes/a"], held)
		is.Equal(structure(none.held["homes/a"].Value), structure(held.Value))
		is.Equal(none.held["b"], all.held["b"])
		is.True(none.applied <= structural) // no renewals
	}
}

// reader reads the changes of a store repeatedly and in small steps, as another node does.
type reader struct {
	from    *membership.Records
	filter  membership.ZoneFilter
	seen    uint64
	held    map[string]membership.Record
	applied int
}

func newReader(from *membership.Records, filter membership.ZoneFilter) *reader {
	return &reader{from: from, filter: filter, held: map[string]membership.Record{}}
}

func (r *reader) read(is *is.I) {
	for r.seen < r.from.LastChange() {
		changes, next := r.from.Since(r.seen, 1, r.filter)
		for _, c := range changes {
			r.apply(is, c)
		}
		is.True(next > r.seen)
		r.seen = next
	}
}

func (r *reader) apply(is *is.I, c membership.Change) {
	held := r.held[c.Record.Key]
	if c.Record.Version.Compare(held.Version) <= 0 {
		return
	}
	made := c.Record
	if c.Patched {
		var ok bool
		made, ok = c.Patch.Apply(held)
		is.True(ok) // the patch applies to the record that the reader holds
	}
	r.held[c.Record.Key] = made
	if c.Record.Key != "b" {
		r.applied++
	}
}

func TestBucketDigestsFindDifferences(t *testing.T) {
	is := is.New(t)
	a, b := membership.NewRecords(), membership.NewRecords()
	for i := range uint64(1000) {
		r := record(string(rune('a'+i)), 1)
		a.Merge(r)
		b.Merge(r)
	}
	a.Merge(record("only a", 1))
	b.Merge(record("a", 2))
	theirs := b.Versions(a.Digests())
	is.True(len(theirs) < 100) // the records of two of the 64 buckets
	b.Merge(a.NewerThan(b.Digests(), theirs)...)
	is.Equal(a.MissingKeys(theirs), []string{"a"})
	a.Merge(record("a", 2))
	is.Equal(a.Digest(), b.Digest())
}

func TestDownMarksAndOwnRecordsDiffer(t *testing.T) {
	is := is.New(t)
	m := membership.Member{Node: "a", State: membership.Up}
	own := m.Record(membership.Version{Epoch: 1, Sequence: membership.NextOwnSequence(0)})
	mark := m.DownRecord(own.Version, time.Unix(1, 0))
	is.Equal(mark.Version.Compare(own.Version), 1)
	again := membership.NextOwnSequence(mark.Version.Sequence)
	is.True(again > mark.Version.Sequence) // the member's next record overrides the mark
	next := membership.NextOwnSequence(own.Version.Sequence)
	is.True(next > mark.Version.Sequence) // also if the member made it before it saw the mark
}

func TestPatchesAfterManyRenewals(t *testing.T) {
	value := func(until int) []byte { return fmt.Appendf(bytes.Repeat([]byte("x"), 500), "%d", 100+until) }
	for name, c := range map[string]struct {
		renewals int
		patched  bool
	}{
		"after one renewal":   {renewals: 1, patched: true},
		"after four renewals": {renewals: 4, patched: true},
		"after 100 renewals":  {renewals: 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := membership.NewRecords(membership.RenewalRule{Prefix: "homes/"})
			first := membership.Record{Key: "homes/a", Version: membership.Version{Epoch: 1}, Value: value(0)}
			s.Merge(first)
			seen := s.LastChange()
			last := first
			for i := range c.renewals {
				last = membership.Record{Key: "homes/a", Version: membership.Version{Epoch: uint64(i) + 2}, Value: value(i + 1)}
				s.Merge(last)
			}
			changes, _ := s.Since(seen, 1<<20, nil)
			is.Equal(len(changes), 1)
			is.Equal(changes[0].Patched, c.patched)
			if c.patched {
				made, ok := changes[0].Patch.Apply(first)
				is.True(ok)
				is.Equal(made, last)
			}
		})
	}
}

func TestHeartbeatPeriodsGrow(t *testing.T) {
	for name, c := range map[string]struct {
		got  time.Duration
		want time.Duration
	}{
		"few members":    {membership.HeartbeatPeriod(time.Second, 36), time.Second},
		"many members":   {membership.HeartbeatPeriod(time.Second, 72), 2 * time.Second},
		"no other zones": {membership.InterZoneHeartbeatPeriod(time.Second, 0), time.Second},
		"few zones":      {membership.InterZoneHeartbeatPeriod(time.Second, 8), time.Second},
		"many zones":     {membership.InterZoneHeartbeatPeriod(time.Second, 28), 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.got, c.want) })
	}
}
