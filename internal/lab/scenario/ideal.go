package scenario

import (
	"cmp"
	"slices"
	"strings"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

// Ideal returns the highest rate in requests per second at which each stream can be served. Streams use the slots of
// every service on their call chains, most urgent first, until the slots are used up. Streams of the same rank share
// the slots in proportion to their rates.
func Ideal(d fleet.Deployment, streams []load.Stream) map[string]float64 {
	left := capacities(d)
	ordered := slices.Clone(streams)
	slices.SortStableFunc(ordered, func(a, b load.Stream) int { return cmp.Compare(a.Rank, b.Rank) })
	ideal := map[string]float64{}
	for len(ordered) > 0 {
		count := 1
		for count < len(ordered) && ordered[count].Rank == ordered[0].Rank {
			count++
		}
		allocateRank(d, ordered[:count], left, ideal)
		ordered = ordered[count:]
	}
	return ideal
}

// capacities returns the number of slots of each service.
func capacities(d fleet.Deployment) map[string]float64 {
	left := map[string]float64{}
	for _, s := range d.Services {
		left[s.Name] = float64(s.Instances * s.Slots)
	}
	return left
}

// allocateRank scales the streams of one rank by a common factor so that they fit into the remaining slots.
func allocateRank(d fleet.Deployment, streams []load.Stream, left, ideal map[string]float64) {
	needed := map[string]float64{}
	for _, s := range streams {
		for service, slots := range slotsPerRate(d, s.Service, s.Path) {
			needed[service] += slots * s.Rate
		}
	}
	factor := 1.0
	for service, need := range needed {
		factor = min(factor, max(left[service], 0)/need)
	}
	for service, need := range needed {
		left[service] -= factor * need
	}
	for _, s := range streams {
		ideal[s.Name] += factor * s.Rate
	}
}

// Calls returns how often a request for the path runs on each service of its call tree.
func Calls(d fleet.Deployment, service, path string) map[string]float64 {
	calls := map[string]float64{service: 1}
	for _, s := range d.Services {
		if s.Name != service {
			continue
		}
		for _, c := range s.Behaviour.Calls {
			if !strings.HasPrefix(path, c.Prefix) {
				continue
			}
			for name, count := range Calls(d, c.Service, c.Path) {
				calls[name] += count
			}
		}
	}
	return calls
}

// slotsPerRate returns the mean number of slots of each service that one request per second for the path occupies. A
// request occupies its slot while it waits for its calls.
func slotsPerRate(d fleet.Deployment, service, path string) map[string]float64 {
	slots := map[string]float64{}
	addSlotTime(d, service, path, slots)
	return slots
}

// addSlotTime adds the slot time in seconds of a request and its calls to slots, and returns the request's own.
func addSlotTime(d fleet.Deployment, service, path string, slots map[string]float64) float64 {
	holdTime := 0.0
	for _, s := range d.Services {
		if s.Name != service {
			continue
		}
		holdTime = s.Behaviour.ServiceTime.Seconds()
		for _, c := range s.Behaviour.Calls {
			if strings.HasPrefix(path, c.Prefix) {
				holdTime += addSlotTime(d, c.Service, c.Path, slots)
			}
		}
	}
	slots[service] += holdTime
	return holdTime
}
