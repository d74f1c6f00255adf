// Package membership decides what nodes know of each other: versioned records that spread by anti-entropy, who is
// up, and who leads an availability zone.
//
// # Usage
//
//	store := membership.NewRecords()
//	changed := store.Merge(received)
//	reply := store.Newer(versionsOfThePeer)
//
// The package does no I/O and reads no clock.
package membership

import (
	"cmp"
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

func (r Record) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Key)
	var numbers [16]byte
	for i := range 8 {
		numbers[i] = byte(r.Version.Epoch >> (8 * i))
		numbers[8+i] = byte(r.Version.Sequence >> (8 * i))
	}
	_, _ = h.Write(numbers[:])
	return h.Sum64()
}

// Records holds the newest record under each key that a node has seen.
type Records struct {
	byKey  map[string]Record
	digest uint64
}

// NewRecords returns an empty store.
func NewRecords() *Records {
	return &Records{byKey: map[string]Record{}}
}

// Merge takes the records that are newer than those held and returns them.
func (s *Records) Merge(received ...Record) []Record {
	var changed []Record
	for _, r := range received {
		held, stands := s.byKey[r.Key]
		if stands && r.Version.Compare(held.Version) <= 0 {
			continue
		}
		if stands {
			s.digest ^= held.hash()
		}
		s.digest ^= r.hash()
		s.byKey[r.Key] = r
		changed = append(changed, r)
	}
	return changed
}

// Get returns the record under the key.
func (s *Records) Get(key string) (Record, bool) {
	r, ok := s.byKey[key]
	return r, ok
}

// Prefix returns the records whose keys begin with the prefix, by key.
func (s *Records) Prefix(prefix string) []Record {
	var found []Record
	for key, r := range s.byKey {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

// Digest sums up all keys and versions: two stores with one digest hold the same.
func (s *Records) Digest() uint64 {
	return s.digest
}

// Versions returns the version of each record.
func (s *Records) Versions() map[string]Version {
	versions := make(map[string]Version, len(s.byKey))
	for key, r := range s.byKey {
		versions[key] = r.Version
	}
	return versions
}

// Newer returns the records that a peer with the versions lacks.
func (s *Records) Newer(versions map[string]Version) []Record {
	var newer []Record
	for key, r := range s.byKey {
		held, stands := versions[key]
		if !stands || held.Compare(r.Version) < 0 {
			newer = append(newer, r)
		}
	}
	return newer
}

// Wanted returns the keys of which a peer with the versions has newer records.
func (s *Records) Wanted(versions map[string]Version) []string {
	var wanted []string
	for key, v := range versions {
		held, stands := s.byKey[key]
		if !stands || held.Version.Compare(v) < 0 {
			wanted = append(wanted, key)
		}
	}
	return wanted
}
