package membership

import (
	"encoding/json"
	"time"
)

// MemberPrefix is the prefix of the keys of member records.
const MemberPrefix = "member/"

// MaxSlots is the largest number of slots of one backend server. Sums and products of slots over a fleet stay far below the
// range of an int.
const MaxSlots = 1 << 20

// State is the state of a member, as set by itself or by a leader.
type State string

const (
	Up      State = "up"
	Leaving State = "leaving"
	Down    State = "down"
)

// Member describes a node and its backend server to the other nodes.
type Member struct {
	Node string `json:"node"`
	// Incarnation is the start time of the node's process. It distinguishes the process from earlier ones with the
	// same name.
	Incarnation   uint64 `json:"incarnation,omitempty"`
	Zone          string `json:"zone"`
	Region        string `json:"region,omitempty"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	// Service is the service of the backend server; empty until a backend server has announced itself.
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	// BackendStart identifies the start of the backend server; empty if its announcement did not name it.
	BackendStart string `json:"backend_start,omitempty"`
	// BackendLeaving reports whether that start of the backend server has said that it leaves.
	BackendLeaving bool  `json:"backend_leaving,omitempty"`
	Connections    int   `json:"connections,omitempty"`
	State          State `json:"state"`
	// BackendLost reports whether the node is up but its backend server is not.
	BackendLost bool `json:"lost,omitempty"`
	// Unconfirmed reports whether the member's entry in the platform's store disappeared although the member had not
	// announced that it leaves.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
	// DownSince is when a leader marked the member down, in Unix seconds.
	DownSince int64 `json:"down_since,omitempty"`
	// Successor is the node that takes over the keys of a leaving member; empty if there is none.
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

// ParseMember decodes a member record.
func ParseMember(r Record) (Member, error) {
	var m Member
	err := json.Unmarshal(r.Value, &m)
	return m, err
}

// NextOwnSequence returns the sequence with which a member publishes its own record after one with the sequence held.
// It is always even; see DownRecord.
func NextOwnSequence(held uint64) uint64 {
	return (held | 1) + 1
}

// DownRecord returns the record with which a leader marks the member down. Its sequence is odd, so that it never has
// the same version as a record of the member itself. The member's next own record has a higher version and overrides
// it.
func (m Member) DownRecord(held Version, now time.Time) Record {
	m.State = Down
	m.DownSince = now.Unix()
	return m.Record(Version{Epoch: held.Epoch, Sequence: held.Sequence | 1})
}

// IsDownMark reports whether a member record with this version was made by a leader that marked the member down.
func IsDownMark(v Version) bool {
	return v.Sequence%2 == 1
}

// downRetention is how long the record of a down member is kept, so that no node accepts an older record of the member
// meanwhile.
const downRetention = time.Hour

// IsExpired reports whether the member has been down for so long that every node drops its record.
func (m Member) IsExpired(now time.Time) bool {
	return m.State == Down && now.Sub(time.Unix(m.DownSince, 0)) > downRetention
}

// heartbeatsPerPeriod limits the heartbeats that a leader receives in the period of a small zone.
const heartbeatsPerPeriod = 36

// HeartbeatPeriod returns the time between heartbeats in a zone with the given number of members. It grows with the
// zone, so that the load on the leader does not.
func HeartbeatPeriod(period time.Duration, members int) time.Duration {
	return period * time.Duration(max(members, heartbeatsPerPeriod)) / heartbeatsPerPeriod
}

// zonesPerPeriod limits the number of other availability zones whose leaders get a heartbeat per period.
const zonesPerPeriod = 8

// InterZoneHeartbeatPeriod returns the time between heartbeats to the leaders of the given number of other
// availability zones.
func InterZoneHeartbeatPeriod(period time.Duration, zones int) time.Duration {
	return period * time.Duration(max(zones, zonesPerPeriod)) / zonesPerPeriod
}
