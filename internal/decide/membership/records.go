// Package membership decides what nodes know about each other: versioned records that spread by anti-entropy, which
// members are up, and which node leads an availability zone.
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

// Version orders the values of a record, by epoch and then by sequence.
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

// Record is a versioned value. Of two records with the same key, every node keeps the one with the higher version.
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

// Buckets is the number of buckets that keys are hashed into. Two nodes compare the digests of their buckets to find
// the records in which they differ.
const Buckets = 64

func bucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// Records holds the newest record of each key that a node has seen, and the order in which the records arrived.
type Records struct {
	renewalRules []RenewalRule
	// renewedKeys holds the keys of the records that a renewal rule applies to.
	renewedKeys map[string]bool
	byKey       map[string]entry
	digests     [Buckets]uint64
	// changes is ordered by number. A change is stale if its key has changed again.
	changes    []change
	lastNumber uint64
}

type change struct {
	number uint64
	key    string
}

// NewRecords returns an empty store. Of records that a renewal rule applies to, the digests cover only the structure.
func NewRecords(rules ...RenewalRule) *Records {
	return &Records{renewalRules: rules, renewedKeys: map[string]bool{}, byKey: map[string]entry{}}
}

// Merge stores the records that are newer than the held ones, and returns them.
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

// replace stores the record in place of held, which is zero if there was none.
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

// Drop removes the record of the key.
func (s *Records) Drop(key string) {
	held, exists := s.byKey[key]
	if exists {
		s.toggleDigest(held)
		delete(s.byKey, key)
		delete(s.renewedKeys, key)
	}
}

// toggleDigest adds the record to the digest of its bucket, or removes it.
func (s *Records) toggleDigest(e entry) {
	s.digests[bucketOf(e.Key)] ^= hash(e.Key, e.digestVersion())
}

// minChangesToCompact is the number of changes, beyond two per key, below which compact does nothing.
const minChangesToCompact = 64

// compact removes the stale changes once they outnumber the others.
func (s *Records) compact() {
	if len(s.changes) < minChangesToCompact+2*len(s.byKey) {
		return
	}
	s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return s.byKey[c.key].number != c.number })
}

// Get returns the record of the key.
func (s *Records) Get(key string) (Record, bool) {
	r, ok := s.byKey[key]
	return r.Record, ok
}

// Len returns the number of records.
func (s *Records) Len() int {
	return len(s.byKey)
}

// WithPrefix returns the records whose keys begin with the prefix, ordered by key.
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

// Change is a record, or the patch that makes it from an earlier record which the receiver holds.
type Change struct {
	Record  Record
	Patch   Patch
	Patched bool
}

// Since returns the changes after the one with the given number, in order, and the number to continue from. It
// returns at least one change, if there are any, and stops before the values exceed maxBytes.
//
// A non-nil filter selects the availability zones whose renewals are returned. For records of the other zones, only
// structural changes are returned; these come first and do not count towards maxBytes.
func (s *Records) Since(after uint64, maxBytes int, filter ZoneFilter) (changes []Change, next uint64) {
	start, _ := slices.BinarySearchFunc(s.changes, after+1, func(c change, n uint64) int { return cmp.Compare(c.number, n) })
	if start == len(s.changes) {
		return nil, s.lastNumber
	}
	seen := after
	changes = s.structuralChanges(seen, filter)
	unordered := len(changes)
	for _, c := range s.changes[start:] {
		e := s.byKey[c.key]
		if e.number != c.number || e.isStructureOnly(filter) {
			continue
		}
		found := e.changeSince(seen)
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

// Digest returns one digest over all keys and versions. Stores with equal digests hold the same records.
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

// Versions returns the version of each record in the buckets whose digests differ from the given ones.
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

// NewerThan returns the records that a peer with the given versions lacks or holds in an older version. It considers
// only the buckets whose digests differ from the given ones.
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

// MissingKeys returns the keys of the records that a peer with the given versions holds in a newer version, or that
// this store lacks.
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
