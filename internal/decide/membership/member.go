package membership

import (
	"encoding/json"
	"time"
)

// MemberPrefix begins the key of each member's record.
const MemberPrefix = "member/"

// State is a member's own or its leader's view of it.
type State string

// The states.
const (
	Up      State = "up"
	Leaving State = "leaving"
	Down    State = "down"
)

// Member is one node with its backend server, as others know it.
type Member struct {
	Node          string `json:"node"`
	Zone          string `json:"zone"`
	Region        string `json:"region,omitempty"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	// Service is empty while no backend server has announced itself.
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
	State       State  `json:"state"`
}

// Record returns the member as a record.
func (m Member) Record(v Version) Record {
	value, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return Record{Key: MemberPrefix + m.Node, Version: v, Value: value}
}

// ParseMember reads a member's record.
func ParseMember(r Record) (Member, error) {
	var m Member
	err := json.Unmarshal(r.Value, &m)
	return m, err
}

// OwnSequence returns the sequence by which a member's own record follows the one held: an even number.
func OwnSequence(held uint64) uint64 {
	return (held | 1) + 1
}

// MarkedDown returns the record by which a leader marks the member down. Its sequence is odd, so that it never meets
// the member's own record with the same version; the member's next record refutes it.
func (m Member) MarkedDown(held Version) Record {
	m.State = Down
	return m.Record(Version{Epoch: held.Epoch, Sequence: held.Sequence | 1})
}

// beatsPerPeriod bounds the heartbeats that a leader takes in one period of a small zone.
const beatsPerPeriod = 36

// BeatPeriod returns the time between heartbeats in a zone of so many members. It grows with the zone, so that the
// leader's work does not.
func BeatPeriod(period time.Duration, members int) time.Duration {
	return period * time.Duration(max(members, beatsPerPeriod)) / beatsPerPeriod
}
