package membership

import (
	"slices"
	"strings"
)

// RenewalRule selects records that are renewed continuously, such as a lease with its end.
type RenewalRule struct {
	// Prefix is the prefix of the keys of these records.
	Prefix string
	// Structure returns the part of a value that a renewal does not change; nil if there is no such part.
	Structure func(value []byte) Structure
}

// Structure is the part of a record's value that a renewal does not change. A change of it is a structural change.
type Structure struct {
	// Term grows with each structural change.
	Term uint64
	// Zone is the availability zone that renews the record.
	Zone string
}

// ZoneFilter reports whether a node gets the renewals of the availability zone. Of the other zones it gets structural
// changes only.
type ZoneFilter func(zone string) bool

// entry is a record with the number of the change that stored it.
type entry struct {
	Record

	number uint64
	// previous holds the records that this one replaced, the newest last.
	previous []previousRecord

	renewed   bool
	structure Structure
	// lastStructural is the record as of its last structural change, and priorStructural as of the one before. A node
	// that gets no renewals of the record holds one of these.
	lastStructural  previousRecord
	priorStructural previousRecord
	// zoneChanged reports whether the last structural change gave the record another zone.
	zoneChanged bool
}

// previousRecord is a replaced record with the number of the change that had stored it; number 0 means none.
type previousRecord struct {
	record Record
	number uint64
}

// maxPrevious is how many replaced records are kept for a renewed record, so that nodes that ask seldom can get a
// patch too.
const maxPrevious = 8

// replacedBy returns the entry with the record replaced by r.
func (e entry) replacedBy(r Record, number uint64, renewed bool, structure Structure) entry {
	next := e
	next.Record, next.number = r, number
	next.previous = append(slices.Clone(e.previous), previousRecord{e.Record, e.number})
	limit := 1
	if renewed {
		limit = maxPrevious
	}
	next.previous = next.previous[max(0, len(next.previous)-limit):]
	next.renewed, next.structure = renewed, structure
	if renewed && (structure != e.structure || e.number == 0) {
		next.lastStructural, next.priorStructural = previousRecord{r, number}, e.lastStructural
		next.zoneChanged = structure.Zone != e.structure.Zone
	}
	return next
}

// digestVersion returns the version that the digests cover. It leaves renewals out, because otherwise two nodes would
// never have equal digests.
func (e entry) digestVersion() Version {
	if e.renewed {
		return Version{Epoch: e.structure.Term}
	}
	return e.Version
}

// changeSince returns the record for a receiver that has seen all changes up to the given number, as a patch if that
// saves bytes.
func (e entry) changeSince(seen uint64) Change {
	if e.zoneChanged && e.lastStructural.number > seen {
		return Change{Record: e.Record}
	}
	for _, p := range slices.Backward(e.previous) {
		if p.number <= seen {
			return p.changeTo(e.Record)
		}
	}
	return Change{Record: e.Record}
}

// structuralChangeSince returns the last structural change for a receiver that gets no renewals of the record. It
// reports false if the receiver has seen that change.
func (e entry) structuralChangeSince(seen uint64) (Change, bool) {
	if e.lastStructural.number <= seen {
		return Change{}, false
	}
	if e.zoneChanged || e.priorStructural.number > seen {
		return Change{Record: e.lastStructural.record}, true
	}
	return e.priorStructural.changeTo(e.lastStructural.record), true
}

func (p previousRecord) changeTo(r Record) Change {
	if p.number == 0 {
		return Change{Record: r}
	}
	patch, patched := NewPatch(p.record, r)
	return Change{Record: r, Patch: patch, Patched: patched}
}

// isStructureOnly reports whether a receiver with the filter gets only the structural changes of the record.
func (e entry) isStructureOnly(filter ZoneFilter) bool {
	return e.renewed && filter != nil && !filter(e.structure.Zone)
}

// structuralChanges returns the structural changes after the given number of the records that a receiver with the
// filter gets no renewals of.
func (s *Records) structuralChanges(after uint64, filter ZoneFilter) []Change {
	var changes []Change
	for key := range s.renewedKeys {
		e := s.byKey[key]
		if !e.isStructureOnly(filter) {
			continue
		}
		if found, unseen := e.structuralChangeSince(after); unseen {
			changes = append(changes, found)
		}
	}
	return changes
}

// RenewedRecords returns the records that a renewal rule applies to, as a receiver with the filter holds them.
func (s *Records) RenewedRecords(filter ZoneFilter) []Record {
	var records []Record
	for key := range s.renewedKeys {
		e := s.byKey[key]
		if e.isStructureOnly(filter) {
			records = append(records, e.lastStructural.record)
		} else {
			records = append(records, e.Record)
		}
	}
	return records
}

func (s *Records) renewalRule(key string) (RenewalRule, bool) {
	for _, r := range s.renewalRules {
		if strings.HasPrefix(key, r.Prefix) {
			return r, true
		}
	}
	return RenewalRule{}, false
}

// structureOf returns the structure of the record, and whether a renewal rule applies to it.
func (s *Records) structureOf(r Record) (Structure, bool) {
	rule, found := s.renewalRule(r.Key)
	if !found || rule.Structure == nil {
		return Structure{}, found
	}
	return rule.Structure(r.Value), true
}
