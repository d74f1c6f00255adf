package zone

import (
	"strings"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/board"
	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/control/events"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// publish renews the sections of the board that the changed records concern.
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

func (c *Controller) publishMembers(b *board.Board, changed []membership.Record) {
	for _, r := range changed {
		m, err := membership.ParseMember(r)
		if err == nil && m.State != membership.Down {
			c.detector.Heard(m.Node, time.Now()) // The member itself made the record.
		}
	}
	members := board.Members{
		ByNode:    map[string]membership.Member{},
		ByService: map[string][]membership.Member{},
	}
	for _, r := range c.records.Prefix(membership.MemberPrefix) {
		m, err := membership.ParseMember(r)
		if err != nil || m.State == membership.Down {
			continue
		}
		members.ByNode[m.Node] = m
		if m.Service != "" && m.State == membership.Up {
			members.ByService[m.Service] = append(members.ByService[m.Service], m)
		}
	}
	b.Members = members
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
		Revision:  stored.Revision,
		Operation: stored.Operation,
		Editor:    stored.Editor,
		Accepted:  stored.Time,
		Document:  parsed,
		InForce:   time.Now(),
	}
	b.Documents = documents
	c.config.Log.Emit(events.DocumentInForce, events.Fields{"service": parsed.Service, "revision": stored.Revision})
}
