package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset returns the members that the sender uses. It selects them by rendezvous hashing of sender and member, so
// that subsets differ between senders and change little when a member joins or leaves. Some are reserved for other
// availability zones.
func subset(config Config, members []Member) []Member {
	if len(members) <= config.SubsetSize {
		return members
	}
	var inZone, inOthers []hashedMember
	for _, m := range members {
		h := hashedMember{member: m, hash: xxhash.Sum64String(config.Node + "/" + m.Node)}
		if m.Zone == config.Zone {
			inZone = append(inZone, h)
		} else {
			inOthers = append(inOthers, h)
		}
	}
	otherZones := min(len(inOthers), max(config.SubsetOtherZones, config.SubsetSize-len(inZone)))
	chosen := make([]Member, 0, config.SubsetSize)
	chosen = appendHighest(chosen, inZone, config.SubsetSize-otherZones)
	return appendHighest(chosen, inOthers, otherZones)
}

type hashedMember struct {
	member Member
	hash   uint64
}

func appendHighest(chosen []Member, candidates []hashedMember, count int) []Member {
	slices.SortFunc(candidates, func(a, b hashedMember) int { return cmp.Compare(b.hash, a.hash) })
	for _, c := range candidates[:min(count, len(candidates))] {
		chosen = append(chosen, c.member)
	}
	return chosen
}
