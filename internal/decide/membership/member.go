package membership

import "encoding/json"

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
	// Successor answers for the keys of a member that leaves; empty for none.
	Successor string `json:"successor,omitempty"`
	// AnswersFor lists the earlier nodes, with their incarnations, whose keys the member took over.
	AnswersFor string `json:"answers_for,omitempty"`
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
