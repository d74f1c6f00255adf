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
	var inZone, others []weighed
	for _, m := range members {
		w := weighed{member: m, weight: xxhash.Sum64String(config.Node + "/" + m.Node)}
		if m.Zone == config.Zone {
			inZone = append(inZone, w)
		} else {
			others = append(others, w)
		}
	}
	far := min(len(others), max(config.SubsetFar, config.SubsetSize-len(inZone)))
	chosen := make([]Member, 0, config.SubsetSize)
	chosen = appendHighest(chosen, inZone, config.SubsetSize-far)
	return appendHighest(chosen, others, far)
}

type weighed struct {
	member Member
	weight uint64
}

func appendHighest(chosen []Member, candidates []weighed, count int) []Member {
	slices.SortFunc(candidates, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	for _, w := range candidates[:min(count, len(candidates))] {
		chosen = append(chosen, w.member)
	}
	return chosen
}
