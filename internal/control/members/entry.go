package members

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/roster"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/address"
)

// decodeEntry decodes an entry. Anybody may have written it: one that no node writes is a trace.BadParameter that names the
// fault.
func decodeEntry(item store.Item) (roster.Entry, error) {
	e := roster.Entry{Key: item.Key, Revision: item.Revision}
	if err := json.Unmarshal(item.Value, &e.Member); err != nil {
		return roster.Entry{}, trace.BadParameter("the value is no JSON of a member: %v", err)
	}
	m := &e.Member
	switch {
	case m.Node == "" || item.Key != Prefix+m.Node:
		return roster.Entry{}, trace.BadParameter("node %q is not the one that the key names", m.Node)
	case m.Incarnation == 0:
		return roster.Entry{}, trace.BadParameter("the incarnation is missing")
	case m.Service == "":
		return roster.Entry{}, trace.BadParameter("the service is missing")
	case m.Slots < 1 || m.Slots > membership.MaxSlots:
		return roster.Entry{}, trace.BadParameter("slots are %d, not from 1 to %d", m.Slots, membership.MaxSlots)
	case m.State != membership.Up && m.State != membership.Leaving:
		return roster.Entry{}, trace.BadParameter("state %q is neither %s nor %s", m.State, membership.Up, membership.Leaving)
	}
	return e, trace.Wrap(address.Check(m.PeerAddress), "peer address")
}
