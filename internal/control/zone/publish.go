package zone

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// publish updates the sections of the board that the changed records belong to.
func (c *Controller) publish(b *board.Board, changed []membership.Record) {
	for prefix, section := range c.sections {
		concerned := withPrefix(changed, prefix)
		if len(concerned) > 0 && section.Publish != nil {
			section.Publish(b, concerned)
		}
	}
}

func withPrefix(records []membership.Record, prefix string) []membership.Record {
	var found []membership.Record
	for _, r := range records {
		if strings.HasPrefix(r.Key, prefix) {
			found = append(found, r)
		}
	}
	return found
}

// publishMembers decodes the changed member records and updates the members on the board.
func (c *Controller) publishMembers(b *board.Board, changed []membership.Record) {
	members := board.Members{
		ByNode:    maps.Clone(b.Members.ByNode),
		ByService: maps.Clone(b.Members.ByService),
	}
	if members.ByNode == nil {
		members = board.Members{ByNode: map[string]membership.Member{}, ByService: map[string][]membership.Member{}}
	}
	for _, r := range changed {
		m, err := membership.ParseMember(r)
		if err != nil {
			continue
		}
		c.members[m.Node] = m
		if m.Zone == b.Self.Zone {
			c.zoneChanges++
			c.logMemberUp(members, m)
		}
		if m.State != membership.Down {
			c.detector.RecordHeartbeat(m.Node, time.Now()) // The record was made by the member itself.
		}
		replaceMember(members, m)
	}
	b.Members = members
}

// logMemberUp logs that a member of the node's zone joined, or is up again after it was down.
func (c *Controller) logMemberUp(before board.Members, m membership.Member) {
	if _, known := before.ByNode[m.Node]; !known && m.State == membership.Up {
		c.config.Log.Emit(events.MemberUp, events.Fields{"member": m.Node, "zone": m.Zone})
	}
}

// replaceMember replaces the member in the maps. The lists in ByService are replaced, never modified, because earlier
// snapshots of the board share them.
func replaceMember(members board.Members, m membership.Member) {
	if before, known := members.ByNode[m.Node]; known && before.Service != "" {
		others := slices.DeleteFunc(slices.Clone(members.ByService[before.Service]), func(other membership.Member) bool {
			return other.Node == m.Node
		})
		members.ByService[before.Service] = others
		if len(others) == 0 {
			delete(members.ByService, before.Service)
		}
	}
	delete(members.ByNode, m.Node)
	if m.State == membership.Down {
		return
	}
	members.ByNode[m.Node] = m
	if m.AcceptsRequests() {
		members.ByService[m.Service] = insertSorted(members.ByService[m.Service], m)
	}
}

// insertSorted returns a copy of the list with the member inserted in name order.
func insertSorted(list []membership.Member, m membership.Member) []membership.Member {
	index, _ := slices.BinarySearchFunc(list, m.Node, func(other membership.Member, node string) int {
		return strings.Compare(other.Node, node)
	})
	return slices.Insert(slices.Clone(list), index, m)
}

func (c *Controller) publishDocuments(b *board.Board, changed []membership.Record) {
	for _, r := range changed {
		c.publishDocument(b, r)
	}
}

func (c *Controller) publishDocument(b *board.Board, r membership.Record) {
	stored, err := ParseStored(r.Value)
	if err != nil {
		return
	}
	parsed, err := document.Parse([]byte(stored.Source))
	if err != nil {
		c.config.Log.Emit(events.DocumentRefused, events.Fields{"key": r.Key, "error": err.Error()})
		return
	}
	documents := board.Documents{ByService: make(map[string]board.DocumentInForce, len(b.Documents.ByService)+1)}
	for service, d := range b.Documents.ByService {
		documents.ByService[service] = d
	}
	documents.ByService[parsed.Service] = board.DocumentInForce{
		Revision:     stored.Revision,
		Operation:    stored.Operation,
		Editor:       stored.Editor,
		AcceptedAt:   stored.Time,
		Document:     parsed,
		InForceSince: time.Now(),
	}
	b.Documents = documents
	c.config.Log.Emit(events.DocumentInForce, events.Fields{"service": parsed.Service, "revision": stored.Revision})
}
