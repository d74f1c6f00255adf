package membership

import (
	"slices"
	"strings"
)

// RenewalRule is a kind of records that are renewed all the time, such as a lease with its end.
type RenewalRule struct {
	// Prefix begins the keys of the records.
	Prefix string
	// Structure reads what a mere renewal leaves as it is; nil for nothing.
	Structure func(value []byte) Structure
}

// Structure is what a renewal leaves as it is.
type Structure struct {
	// Term grows with each change that is more than a renewal.
	Term uint64
	// Zone is the availability zone that renews the record.
	Zone string
}

// ZoneFilter says of which availability zones a node gets the renewals; of the others it gets changes of the structure only.
type ZoneFilter func(zone string) bool

// entry is a record with the number of the change that brought it.
type entry struct {
	Record

	number uint64
	// previous are the records that this one replaced, the newest last.
	previous []previousRecord

	renewed   bool
	structure Structure
	// lastStructural is the record as it was when its structure last changed, and priorAnchor the one before. Who follows no
	// renewals holds just these.
	lastStructural  previousRecord
	priorStructural previousRecord
	// zoneChanged says that the last change of the structure brought another zone.
	zoneChanged bool
}

// previousRecord is a record that was replaced, with the number of the change that had brought it; 0 for none.
type previousRecord struct {
	record Record
	number uint64
}

// maxPrevious is how many replaced records are kept of one that is renewed all the time, for those who ask seldom.
const maxPrevious = 8

// replacedBy returns the record with its successor in its place.
func (n entry) replacedBy(r Record, number uint64, renewed bool, structure Structure) entry {
	next := n
	next.Record, next.number = r, number
	next.previous = append(slices.Clone(n.previous), previousRecord{n.Record, n.number})
	limit := 1
	if renewed {
		limit = maxPrevious
	}
	next.previous = next.previous[max(0, len(next.previous)-limit):]
	next.renewed, next.structure = renewed, structure
	if renewed && (structure != n.structure || n.number == 0) {
		next.lastStructural, next.priorStructural = previousRecord{r, number}, n.lastStructural
		next.zoneChanged = structure.Zone != n.structure.Zone
	}
	return next
}

// digestVersion is the version that counts in the digests: renewals don't, because no two nodes would ever agree.
func (n entry) digestVersion() Version {
	if n.renewed {
		return Version{Epoch: n.structure.Term}
	}
	return n.Version
}

// changeSince returns the record as a patch for one who has seen the changes up to the number, where that spares bytes.
func (n entry) changeSince(seen uint64) Change {
	if n.zoneChanged && n.lastStructural.number > seen {
		return Change{Record: n.Record}
	}
	for _, e := range slices.Backward(n.previous) {
		if e.number <= seen {
			return e.changeTo(n.Record)
		}
	}
	return Change{Record: n.Record}
}

// structuralChangeSince returns the last change of the structure for one who follows no renewals. It reports false where that was
// seen.
func (n entry) structuralChangeSince(seen uint64) (Change, bool) {
	if n.lastStructural.number <= seen {
		return Change{}, false
	}
	if n.zoneChanged || n.priorStructural.number > seen {
		return Change{Record: n.lastStructural.record}, true
	}
	return n.priorStructural.changeTo(n.lastStructural.record), true
}

func (e previousRecord) changeTo(r Record) Change {
	if e.number == 0 {
		return Change{Record: r}
	}
	patch, patched := NewPatch(e.record, r)
	return Change{Record: r, Patch: patch, Patched: patched}
}

// isStructureOnly reports whether one who follows the zones gets only the changes of the record's structure.
func (n entry) isStructureOnly(follows ZoneFilter) bool {
	return n.renewed && follows != nil && !follows(n.structure.Zone)
}

// structuralChanges returns the changes of structure, after the change of the given number, of the records whose renewals are
// not followed.
func (s *Records) structuralChanges(after uint64, follows ZoneFilter) []Change {
	var changes []Change
	for key := range s.renewedKeys {
		n := s.byKey[key]
		if !n.isStructureOnly(follows) {
			continue
		}
		if found, unseen := n.structuralChangeSince(after); unseen {
			changes = append(changes, found)
		}
	}
	return changes
}

// RenewedRecords returns the records that are renewed all the time, as one who follows the zones gets them.
func (s *Records) RenewedRecords(follows ZoneFilter) []Record {
	var records []Record
	for key := range s.renewedKeys {
		n := s.byKey[key]
		if n.isStructureOnly(follows) {
			records = append(records, n.lastStructural.record)
		} else {
			records = append(records, n.Record)
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

// structureOf returns the structure of the record, and whether it is one that is renewed all the time.
func (s *Records) structureOf(r Record) (Structure, bool) {
	rule, found := s.renewalRule(r.Key)
	if !found || rule.Structure == nil {
		return Structure{}, found
	}
	return rule.Structure(r.Value), true
}
