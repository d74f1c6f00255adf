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
	Node string `json:"node"`
	// Incarnation is the start of the node's process, which tells it from earlier ones of the same name.
	Incarnation   uint64 `json:"incarnation,omitempty"`
	Zone          string `json:"zone"`
	Region        string `json:"region,omitempty"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	// Service is empty while no backend server has announced itself.
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
	State       State  `json:"state"`
	// BackendLost says that the backend server is not there, though the node is.
	BackendLost bool `json:"lost,omitempty"`
	// Unconfirmed says that the member's entry in the platform's store went without a word of it.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// DownSince is when a leader marked the member down, in seconds of Unix time.
	DownSince int64 `json:"down_since,omitempty"`
	// Successor answers for the keys of a member that leaves; empty for none.
	Successor string `json:"successor,omitempty"`
	// AnswersFor lists the earlier nodes, with their incarnations, whose keys the member took over.
	AnswersFor string `json:"answers_for,omitempty"`
}

// AcceptsRequests reports whether requests may be sent to the member's backend server.
func (m Member) AcceptsRequests() bool {
	return m.Service != "" && m.State == Up && !m.BackendLost
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

// NextOwnSequence returns the sequence by which a member's own record follows the one held: an even number.
func NextOwnSequence(held uint64) uint64 {
	return (held | 1) + 1
}

// DownRecord returns the record by which a leader marks the member down. Its sequence is odd, so that it never meets
// the member's own record with the same version; the member's next record refutes it.
func (m Member) DownRecord(held Version, now time.Time) Record {
	m.State = Down
	m.DownSince = now.Unix()
	return m.Record(Version{Epoch: held.Epoch, Sequence: held.Sequence | 1})
}

// IsDownMark reports whether a member's record of the version was made by a leader that marked it down.
func IsDownMark(v Version) bool {
	return v.Sequence%2 == 1
}

// downRetention is how long the record of a member that is down is kept, so that no older record of it comes back.
const downRetention = time.Hour

// IsExpired reports whether the member has been down for so long that its record is dropped, by every node alike.
func (m Member) IsExpired(now time.Time) bool {
	return m.State == Down && now.Sub(time.Unix(m.DownSince, 0)) > downRetention
}

// heartbeatsPerPeriod bounds the heartbeats that a leader takes in one period of a small zone.
const heartbeatsPerPeriod = 36

// HeartbeatPeriod returns the time between heartbeats in a zone of so many members. It grows with the zone, so that the
// leader's work does not.
func HeartbeatPeriod(period time.Duration, members int) time.Duration {
	return period * time.Duration(max(members, heartbeatsPerPeriod)) / heartbeatsPerPeriod
}

// zonesPerPeriod bounds the other availability zones whose leaders get a heartbeat in each period.
const zonesPerPeriod = 8

// InterZoneHeartbeatPeriod returns the time between heartbeats to the leaders of so many other availability zones.
func InterZoneHeartbeatPeriod(period time.Duration, zones int) time.Duration {
	return period * time.Duration(max(zones, zonesPerPeriod)) / zonesPerPeriod
}
