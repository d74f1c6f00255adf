package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset returns the members that the sender uses: the highest by a hash of sender and member, so that each sender
// has others, and a member that joins or leaves changes little. Some are kept for other availability zones.
func subset(config Config, members []Member) []Member {
	if len(members) <= config.SubsetSize {
		return members
	}
	var inZone, others []hashedMember
	for _, m := range members {
		w := hashedMember{member: m, hash: xxhash.Sum64String(config.Node + "/" + m.Node)}
		if m.Zone == config.Zone {
			inZone = append(inZone, w)
		} else {
			others = append(others, w)
		}
	}
	otherZones := min(len(others), max(config.SubsetOtherZones, config.SubsetSize-len(inZone)))
	chosen := make([]Member, 0, config.SubsetSize)
	chosen = appendHighest(chosen, inZone, config.SubsetSize-otherZones)
	return appendHighest(chosen, others, otherZones)
}

type hashedMember struct {
	member Member
	hash   uint64
}

func appendHighest(chosen []Member, candidates []hashedMember, count int) []Member {
	slices.SortFunc(candidates, func(a, b hashedMember) int { return cmp.Compare(b.hash, a.hash) })
	for _, w := range candidates[:min(count, len(candidates))] {
		chosen = append(chosen, w.member)
	}
	return chosen
}
