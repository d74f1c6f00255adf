package members

import (
	"testing"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/address"
)

// FuzzDecodeEntry checks that no value in the store makes decodeEntry panic, and that accepted entries are within bounds.
func FuzzDecodeEntry(f *testing.F) {
	f.Add("node_1", []byte(`{"node":"node_1","incarnation":1,"peer_address":"10.0.0.1:7620","service":"keys","slots":12,"state":"up"}`))
	f.Add("node_1", []byte(`{"node":"node_1","slots":-1}`))
	f.Fuzz(func(t *testing.T, node string, value []byte) {
		e, err := decodeEntry(store.Item{Key: Prefix + node, Value: value})
		if err != nil {
			return
		}
		m := e.Member
		isUsable := m.Node == node && m.Service != "" && (m.State == membership.Up || m.State == membership.Leaving)
		if !isUsable || m.Slots < 1 || m.Slots > membership.MaxSlots || address.Check(m.PeerAddress) != nil {
			t.Errorf("accepted an entry that is out of bounds: %+v", m)
		}
	})
}
