// Package membership decides what nodes know of each other: versioned records that spread by anti-entropy, who is
// up, and who leads an availability zone.
//
// # Usage
//
//	records := membership.NewRecords()
//	changed := records.Merge(received...)
//	newer, next := records.Since(seen, maxBytes, nil)
//
//	election := membership.NewElection(config)
//	plan := election.Plan(now, members)
//
// The package does no I/O and reads no clock.
package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Version orders the values of one record.
type Version struct {
	Epoch    uint64
	Sequence uint64
}

// Compare returns -1, 0 or 1 as v is lower than, equal to or higher than w.
func (v Version) Compare(w Version) int {
	if c := cmp.Compare(v.Epoch, w.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(v.Sequence, w.Sequence)
}

// Record is one versioned fact. Of two records with one key the higher version stays, everywhere and for good.
type Record struct {
	Key     string
	Version Version
	Value   []byte
}

func hash(key string, v Version) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(key)
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], v.Epoch)
	binary.LittleEndian.PutUint64(numbers[8:], v.Sequence)
	_, _ = h.Write(numbers[:])
	return h.Sum64()
}

// Buckets is the number of parts whose digests two nodes compare to find out where they differ.
const Buckets = 64

func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// Records holds the newest record under each key that a node has seen, and the order in which they came.
type Records struct {
	renewalRules []RenewalRule
	// renewedKeys are the keys of the records of these kinds.
	renewedKeys map[string]bool
	byKey       map[string]entry
	digests     [Buckets]uint64
	// changes are in order; one is stale where the key has changed again.
	changes    []change
	lastNumber uint64
}

type change struct {
	number uint64
	key    string
}

// NewRecords returns an empty store. The digests cover only the structure of records that are renewed all the time.
func NewRecords(renewals ...RenewalRule) *Records {
	return &Records{renewalRules: renewals, renewedKeys: map[string]bool{}, byKey: map[string]entry{}}
}

// Merge takes the records that are newer than those held and returns them.
func (s *Records) Merge(received ...Record) []Record {
	var changed []Record
	for _, r := range received {
		held, exists := s.byKey[r.Key]
		if exists && r.Version.Compare(held.Version) <= 0 {
			continue
		}
		s.lastNumber++
		s.replace(held, r)
		s.changes = append(s.changes, change{number: s.lastNumber, key: r.Key})
		changed = append(changed, r)
	}
	s.compact()
	return changed
}

// replace puts the record in the place of the one held, which may be none.
func (s *Records) replace(held entry, r Record) {
	structure, renewed := s.structureOf(r)
	next := held.replacedBy(r, s.lastNumber, renewed, structure)
	if held.number != 0 {
		s.toggleDigest(held)
	}
	s.toggleDigest(next)
	s.byKey[r.Key] = next
	if renewed {
		s.renewedKeys[r.Key] = true
	}
}

// Drop forgets the record under the key.
func (s *Records) Drop(key string) {
	held, exists := s.byKey[key]
	if exists {
		s.toggleDigest(held)
		delete(s.byKey, key)
		delete(s.renewedKeys, key)
	}
}

// toggleDigest puts the record into the digest of its bucket, or takes it out.
func (s *Records) toggleDigest(n entry) {
	s.digests[bucketOf(n.Key)] ^= hash(n.Key, n.digestVersion())
}

// minChangesToCompact are kept without a look for stale ones.
const minChangesToCompact = 64

// compact drops the stale changes once they outnumber the others.
func (s *Records) compact() {
	if len(s.changes) < minChangesToCompact+2*len(s.byKey) {
		return
	}
	s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return s.byKey[c.key].number != c.number })
}

// Get returns the record under the key.
func (s *Records) Get(key string) (Record, bool) {
	r, ok := s.byKey[key]
	return r.Record, ok
}

// Len returns the number of records.
func (s *Records) Len() int {
	return len(s.byKey)
}

// WithPrefix returns the records whose keys begin with the prefix, by key.
func (s *Records) WithPrefix(prefix string) []Record {
	var found []Record
	for key, r := range s.byKey {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r.Record)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

// LastChange returns the number of the newest change.
func (s *Records) LastChange() uint64 {
	return s.lastNumber
}

// Change is a record, or the patch by which one who has seen all earlier changes gets it.
type Change struct {
	Record  Record
	Patch   Patch
	Patched bool
}

// Since returns what came after the change of the given number, in order, up to so many bytes of values but at least
// one, and the number to go on from. One who follows only some zones, where follows is not nil, gets changes of
// structure in the place of the others' renewals; they come first and whatever their size.
func (s *Records) Since(after uint64, maxBytes int, follows ZoneFilter) (changes []Change, next uint64) {
	start, _ := slices.BinarySearchFunc(s.changes, after+1, func(c change, n uint64) int { return cmp.Compare(c.number, n) })
	if start == len(s.changes) {
		return nil, s.lastNumber
	}
	seen := after
	changes = s.structuralChanges(seen, follows)
	unordered := len(changes)
	for _, c := range s.changes[start:] {
		n := s.byKey[c.key]
		if n.number != c.number || n.isStructureOnly(follows) {
			continue
		}
		found := n.changeSince(seen)
		maxBytes -= found.size()
		if len(changes) > unordered && maxBytes < 0 {
			return changes, after
		}
		changes = append(changes, found)
		after = c.number
	}
	return changes, s.lastNumber
}

func (c Change) size() int {
	if c.Patched {
		return len(c.Patch.Middle)
	}
	return len(c.Record.Value)
}

// Digest sums up all keys and versions: two stores with one digest hold the same.
func (s *Records) Digest() uint64 {
	var sum uint64
	for _, d := range s.digests {
		sum ^= d
	}
	return sum
}

// Digests returns the digest of each bucket.
func (s *Records) Digests() []uint64 {
	return slices.Clone(s.digests[:])
}

// Versions returns the version of each record in the buckets whose digests are not the given ones.
func (s *Records) Versions(digests []uint64) map[string]Version {
	versions := map[string]Version{}
	for key, r := range s.byKey {
		bucket := bucketOf(key)
		if bucket >= len(digests) || digests[bucket] != s.digests[bucket] {
			versions[key] = r.Version
		}
	}
	return versions
}

// NewerThan returns the records, in the buckets whose digests are not the given ones, that a peer with the versions lacks.
func (s *Records) NewerThan(digests []uint64, versions map[string]Version) []Record {
	var newer []Record
	for key := range s.Versions(digests) {
		r := s.byKey[key]
		held, exists := versions[key]
		if !exists || held.Compare(r.Version) < 0 {
			newer = append(newer, r.Record)
		}
	}
	return newer
}

// MissingKeys returns the keys of which a peer with the versions has newer records.
func (s *Records) MissingKeys(versions map[string]Version) []string {
	var missing []string
	for key, v := range versions {
		held, exists := s.byKey[key]
		if !exists || held.Version.Compare(v) < 0 {
			missing = append(missing, key)
		}
	}
	return missing
}
