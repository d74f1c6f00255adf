package outcome

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a node that may own keys, and the service of its backend server.
type Member struct {
	Node
	Service string `json:"service"`
}

// Epoch lists the nodes that own the keys whose timestamps lie in [Start, Until), in Unix milliseconds.
type Epoch struct {
	Start int64 `json:"start"`
	Until int64 `json:"until"`
	// Zone is the availability zone whose leader renews the epoch.
	Zone    string   `json:"zone"`
	Members []Member `json:"members"`
}

// Shard is the agreed list of epochs for one partition of the keys, oldest first and without gaps.
//
// The owner of a key at a timestamp never changes once it is committed: a successor of a Shard either moves the end of
// its last epoch forward or appends an epoch that begins there. Two nodes that hold different versions therefore never
// both own one key, whatever their clocks show and however long either was paused.
//
// The platform orders the versions by compare-and-swap. While the platform can't be reached, the end of the last epoch
// moves up to Limit if both keepers promise it. A writer that is not the first keeper asks a keeper first (see
// Promises).
type Shard struct {
	Epochs []Epoch `json:"epochs"`
	// Term grows with each successor that changes more than the end.
	Term uint64 `json:"term"`
	// Keepers are the writer of the shard and a second node in another availability zone; either none or two.
	Keepers []Node `json:"keepers,omitempty"`
	// Limit is the latest end that the keepers may promise without the platform, in Unix milliseconds.
	Limit int64 `json:"limit,omitempty"`
}

// Renewal is the input of Shard.Renew. Times are in Unix milliseconds.
type Renewal struct {
	// Until is the requested end of the last epoch.
	Until int64
	// DropBefore is the time before which ended epochs are dropped.
	DropBefore int64
	Zone       string
	Members    []Member
	// Keepers are the writer and a second node; none if the end must not move without the platform.
	Keepers []Node
	// Reserve is how far past its end the last epoch may be extended without the platform, in milliseconds.
	Reserve int64
}

// Renew returns the successor of the shard, and reports whether it differs from the shard. The end grows in every
// successor, so that it orders the versions.
func (s Shard) Renew(r Renewal) (Shard, bool) {
	if len(r.Members) == 0 {
		return s, false
	}
	next := Shard{Epochs: s.renewedEpochs(r), Term: s.Term, Keepers: r.Keepers}
	last := &next.Epochs[len(next.Epochs)-1]
	same := len(s.Epochs) > 0 && last.Start == s.Last().Start && slices.Equal(s.Keepers, r.Keepers)
	if same && last.Until == s.Last().Until {
		return s, false
	}
	if !same {
		next.Term++
		last.Until = max(last.Until, s.Last().Until+1)
	}
	if len(r.Keepers) > 0 {
		next.Limit = last.Until + r.Reserve
	}
	return next, true
}

// renewedEpochs returns the epochs with a later end of the last one, or with a new one appended if the zone or the
// members changed.
func (s Shard) renewedEpochs(r Renewal) []Epoch {
	if len(s.Epochs) == 0 {
		return []Epoch{{Start: r.DropBefore, Until: r.Until, Zone: r.Zone, Members: r.Members}}
	}
	kept := s.epochsEndingAfter(r.DropBefore)
	last := &kept[len(kept)-1]
	if last.Zone == r.Zone && slices.Equal(last.Members, r.Members) {
		last.Until = max(last.Until, r.Until)
		return kept
	}
	return append(kept, Epoch{Start: last.Until, Until: max(r.Until, last.Until+1), Zone: r.Zone, Members: r.Members})
}

// Extend returns the shard with its end moved forward to the given time, in Unix milliseconds. A shard that ends later,
// or has no epochs, is returned unchanged.
func (s Shard) Extend(until int64) Shard {
	if len(s.Epochs) == 0 || until <= s.Last().Until {
		return s
	}
	s.Epochs = slices.Clone(s.Epochs)
	s.Epochs[len(s.Epochs)-1].Until = until
	return s
}

// IsFirstKeeper reports whether the node is the first keeper, the only node that may write the shard without asking a
// keeper.
func (s Shard) IsFirstKeeper(n Node) bool {
	return len(s.Keepers) > 0 && s.Keepers[0] == n
}

// epochsEndingAfter returns a copy of the epochs that end after the given time, and always includes the last one.
func (s Shard) epochsEndingAfter(unixMillis int64) []Epoch {
	first := 0
	for first < len(s.Epochs)-1 && s.Epochs[first].Until <= unixMillis {
		first++
	}
	return slices.Clone(s.Epochs[first:])
}

// Last returns the newest epoch, or the zero Epoch if there is none.
func (s Shard) Last() Epoch {
	if len(s.Epochs) == 0 {
		return Epoch{}
	}
	return s.Epochs[len(s.Epochs)-1]
}

// Owner returns the only node that may run the key of the service at the key's timestamp.
func (s Shard) Owner(service, key string, unixMillis int64) (Node, bool) {
	for _, e := range s.Epochs {
		if unixMillis >= e.Start && unixMillis < e.Until {
			return e.owner(service, key)
		}
	}
	return Node{}, false
}

// CurrentOwner returns the owner of a key without a timestamp, and the other nodes that may have owned it since the
// given time. The owner may run the key only after all of these have moved it. After the end of the last epoch the key
// has no owner. All times are in Unix milliseconds.
func (s Shard) CurrentOwner(service, key string, now, since int64) (Node, []Node, bool) {
	owner, ok := s.Last().owner(service, key)
	if !ok || now >= s.Last().Until {
		return Node{}, nil, false
	}
	var earlier []Node
	for _, e := range s.Epochs {
		n, found := e.owner(service, key)
		if found && e.Until > since && n != owner && !slices.Contains(earlier, n) {
			earlier = append(earlier, n)
		}
	}
	return owner, earlier, true
}

// PresumedOwner returns the node to ask about a key whose timestamp lies after the end of the last known epoch. That
// node owns the key if the end was moved in the meantime without a change of members, which only the node itself can
// confirm.
func (s Shard) PresumedOwner(service, key string, unixMillis int64) (Node, bool) {
	if unixMillis < s.Last().Until {
		return Node{}, false
	}
	return s.Last().owner(service, key)
}

// owner returns the member with the highest hash for the key, among the members of the service or, if the service has
// none, among all members.
func (e Epoch) owner(service, key string) (Node, bool) {
	best, found := highestHash(e.Members, service, key)
	if !found {
		best, found = highestHash(e.Members, "", key)
	}
	return best, found
}

func highestHash(members []Member, service, key string) (Node, bool) {
	var best Node
	var bestHash uint64
	found := false
	for _, m := range members {
		if service != "" && m.Service != service {
			continue
		}
		if h := rendezvousHash(m.Name, key); !found || h > bestHash {
			best, bestHash, found = m.Node, h, true
		}
	}
	return best, found
}

func rendezvousHash(name, key string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(name)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(key)
	return h.Sum64()
}

// ShardOf returns the availability zone whose shard holds the key.
func ShardOf(zones []string, key string) string {
	best := ""
	var bestHash uint64
	for _, z := range zones {
		if h := rendezvousHash(z, key); best == "" || h > bestHash {
			best, bestHash = z, h
		}
	}
	return best
}
