package membership

import (
	"slices"
	"strings"
)

// Renewal is a kind of records that are renewed all the time, such as a lease with its end.
type Renewal struct {
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

// Follows says of which availability zones a node gets the renewals; of the others it gets changes of the structure only.
type Follows func(zone string) bool

// numbered is a record with the number of the change that brought it.
type numbered struct {
	Record

	number uint64
	// earlier are the records that this one replaced, the newest last.
	earlier []earlier

	renewed   bool
	structure Structure
	// anchor is the record as it was when its structure last changed, and priorAnchor the one before. Who follows no
	// renewals holds just these.
	anchor      earlier
	priorAnchor earlier
	// moved says that the last change of the structure brought another zone.
	moved bool
}

// earlier is a record that was replaced, with the number of the change that had brought it; 0 for none.
type earlier struct {
	record Record
	number uint64
}

// maxEarlier is how many replaced records are kept of one that is renewed all the time, for those who ask seldom.
const maxEarlier = 8

// followed returns the record with its successor in its place.
func (n numbered) followed(r Record, number uint64, renewed bool, structure Structure) numbered {
	next := n
	next.Record, next.number = r, number
	next.earlier = append(slices.Clone(n.earlier), earlier{n.Record, n.number})
	most := 1
	if renewed {
		most = maxEarlier
	}
	next.earlier = next.earlier[max(0, len(next.earlier)-most):]
	next.renewed, next.structure = renewed, structure
	if renewed && (structure != n.structure || n.number == 0) {
		next.anchor, next.priorAnchor = earlier{r, number}, n.anchor
		next.moved = structure.Zone != n.structure.Zone
	}
	return next
}

// mark is the version that counts in the digests: renewals don't, because no two nodes would ever agree.
func (n numbered) mark() Version {
	if n.renewed {
		return Version{Epoch: n.structure.Term}
	}
	return n.Version
}

// change returns the record as a patch for one who has seen the changes up to the number, where that spares bytes.
func (n numbered) change(seen uint64) Change {
	if n.moved && n.anchor.number > seen {
		return Change{Record: n.Record}
	}
	for _, e := range slices.Backward(n.earlier) {
		if e.number <= seen {
			return e.changeTo(n.Record)
		}
	}
	return Change{Record: n.Record}
}

// structural returns the last change of the structure for one who follows no renewals. It reports false where that was
// seen.
func (n numbered) structural(seen uint64) (Change, bool) {
	if n.anchor.number <= seen {
		return Change{}, false
	}
	if n.moved || n.priorAnchor.number > seen {
		return Change{Record: n.anchor.record}, true
	}
	return n.priorAnchor.changeTo(n.anchor.record), true
}

func (e earlier) changeTo(r Record) Change {
	if e.number == 0 {
		return Change{Record: r}
	}
	patch, worthWhile := NewPatch(e.record, r)
	return Change{Record: r, Patch: patch, Patched: worthWhile}
}

// isLimited reports whether one who follows the zones gets only the changes of the record's structure.
func (n numbered) isLimited(follows Follows) bool {
	return n.renewed && follows != nil && !follows(n.structure.Zone)
}

// structures returns the changes of structure, after the change of the given number, of the records whose renewals are
// not followed.
func (s *Records) structures(after uint64, follows Follows) []Change {
	var changes []Change
	for key := range s.renewed {
		n := s.byKey[key]
		if !n.isLimited(follows) {
			continue
		}
		if found, unseen := n.structural(after); unseen {
			changes = append(changes, found)
		}
	}
	return changes
}

// Renewed returns the records that are renewed all the time, as one who follows the zones gets them.
func (s *Records) Renewed(follows Follows) []Record {
	var records []Record
	for key := range s.renewed {
		n := s.byKey[key]
		if n.isLimited(follows) {
			records = append(records, n.anchor.record)
		} else {
			records = append(records, n.Record)
		}
	}
	return records
}

func (s *Records) renewal(key string) (Renewal, bool) {
	for _, r := range s.renewals {
		if strings.HasPrefix(key, r.Prefix) {
			return r, true
		}
	}
	return Renewal{}, false
}

// structureOf returns the structure of the record, and whether it is one that is renewed all the time.
func (s *Records) structureOf(r Record) (Structure, bool) {
	renewal, found := s.renewal(r.Key)
	if !found || renewal.Structure == nil {
		return Structure{}, found
	}
	return renewal.Structure(r.Value), true
}
