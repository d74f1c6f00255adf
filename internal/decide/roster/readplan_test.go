package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/roster"
)

// staleCost is the cost of a stale list; any other call costs 1.
const staleCost = 0.1

// simulateReads returns what the reads of one node cost while an entry changes at each of the times, and how late the
// latest change was read. Stale lists are as old as the given age.
func simulateReads(members int, changes []time.Duration, age, end time.Duration) (cost float64, latest time.Duration) {
	plan := roster.NewReadPlan(roster.DefaultReadPlan)
	delay := roster.CoalesceDelay(members)
	known := 0
	changesUntil := func(t time.Duration) int {
		n := 0
		for n < len(changes) && changes[n] <= t {
			n++
		}
		return n
	}
	for now := time.Duration(0); now < end; now += delay {
		seen := known
		switch plan.Next() {
		case roster.ReadStale:
			cost += staleCost
			seen = max(known, changesUntil(now-age))
			plan.Listed(members, uint64(seen))
		case roster.ReadLatest:
			cost++
			seen = changesUntil(now)
			plan.Listed(members, uint64(seen))
		case roster.ReadChanges:
			if known == len(changes) {
				return cost, latest
			}
			cost++
			now = max(now, changes[known])
			seen = changesUntil(now)
			plan.Changed(members)
		}
		for ; known < seen; known++ {
			latest = max(latest, now-changes[known])
		}
	}
	return cost, latest
}

// every returns the times of changes at the interval, from start to end.
func every(interval, start, end time.Duration) []time.Duration {
	var times []time.Duration
	for t := start; t < end; t += interval {
		times = append(times, t)
	}
	return times
}

// Pattern: all nodes of a fleet read each change of an entry, while instances are replaced one after the other. Guards
// against calls to the store that grow with nodes times changes, and against changes that are read too late.
func TestReadsWhileEntriesChange(t *testing.T) {
	const minute = time.Minute
	for name, test := range map[string]struct {
		changes []time.Duration
		maxCost float64
	}{
		"nothing changes":                        {nil, 1},
		"one change":                             {every(minute, time.Second, minute), 4},
		"instances are replaced for a minute":    {every(500*time.Millisecond, time.Second, minute), 8},
		"a change every five seconds":            {every(5*time.Second, time.Second, minute), 8},
		"instances start together, then nothing": {every(20*time.Millisecond, time.Second, 3*time.Second), 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const members, age = 96, 2 * time.Second
			cost, latest := simulateReads(members, test.changes, age, 2*minute)
			is.True(cost <= test.maxCost)
			is.True(latest <= age+2*roster.CoalesceDelay(members))
		})
	}
}

// Guards against stale lists in a fleet whose entries are too many to be listed again and again, and in a small one, which
// would learn of its changes some seconds later than without.
func TestLargeAndSmallFleetsWaitForChanges(t *testing.T) {
	for _, members := range []int{2114, 16} {
		is := is.New(t)
		plan := roster.NewReadPlan(roster.DefaultReadPlan)
		plan.Listed(members, 1)
		for range 5 {
			is.Equal(plan.Next(), roster.ReadChanges)
			plan.Changed(members)
		}
	}
}

// Pattern: all nodes of a fleet start within seconds and write their entries, and each reads the entries of all. Guards
// against calls to the store that grow with the square of the nodes, and against entries that are read too late.
func TestReadsWhileAFleetStarts(t *testing.T) {
	for name, test := range map[string]struct {
		members int
		maxCost float64
	}{
		"96 members": {96, 4},
		"16 members": {16, 4},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const interval, end = 35 * time.Millisecond, 10 * time.Second
			plan := roster.NewReadPlan(roster.DefaultReadPlan)
			cost, known, readAt := 0.0, 0, time.Duration(0)
			for now := time.Duration(0); now < end; now += roster.CoalesceDelay(known) {
				if plan.Next() == roster.ReadChanges {
					now = max(now, time.Duration(known+1)*interval)
				}
				if plan.Next() == roster.ReadChanges && known == test.members {
					break
				}
				before := known
				known = min(int(now/interval), test.members)
				if known > before {
					readAt = now
				}
				switch plan.Next() {
				case roster.ReadStale:
					cost += staleCost
					plan.Listed(known, uint64(known))
				case roster.ReadLatest:
					cost++
					plan.Listed(known, uint64(known))
				case roster.ReadChanges:
					cost++
					plan.Changed(known)
				}
			}
			t.Logf("cost %.1f, all entries read after %v", cost, readAt)
			is.Equal(known, test.members)
			is.True(cost <= test.maxCost)
			is.True(readAt <= time.Duration(test.members)*interval+roster.CoalesceDelay(test.members))
		})
	}
}

// Guards against waiting for changes after a failed read, which may have missed some: the store may have dropped its history
// meanwhile, and says so with the next change only. Lists that follow the failure become newer until they show all.
func TestReadsAfterAFailure(t *testing.T) {
	for name, test := range map[string]struct {
		members int
		fail    func(p *roster.ReadPlan)
		want    roster.Read
	}{
		"failed":                          {96, (*roster.ReadPlan).Failed, roster.ReadStale},
		"failed before the first list":    {0, (*roster.ReadPlan).Failed, roster.ReadLatest},
		"failed, few members":             {16, (*roster.ReadPlan).Failed, roster.ReadLatest},
		"failed, many members":            {2114, (*roster.ReadPlan).Failed, roster.ReadLatest},
		"history dropped, or era changed": {96, (*roster.ReadPlan).Restarted, roster.ReadLatest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := roster.NewReadPlan(roster.DefaultReadPlan)
			if test.members > 0 {
				plan.Listed(test.members, 1)
			}
			test.fail(plan)
			is.Equal(plan.Next(), test.want)
			if test.want != roster.ReadStale {
				return
			}
			for range roster.DefaultReadPlan.QuietReads {
				is.Equal(plan.Next(), roster.ReadStale)
				plan.Listed(test.members, 1)
			}
			is.Equal(plan.Next(), roster.ReadChanges)
		})
	}
}

// Guards against an entry that is used again after it was deleted, because a list that is some seconds old still holds it.
func TestStaleListDoesNotRestoreADeletedEntry(t *testing.T) {
	is := is.New(t)
	r := roster.New(roster.DefaultConfig)
	entry := func(revision uint64) roster.Entry {
		e := roster.Entry{Key: "members/node_1", Revision: revision}
		e.Member.Node, e.Member.PeerAddress = "node_1", "127.0.0.1:1"
		return e
	}
	now := time.Unix(1000, 0)
	leaving := entry(5)
	leaving.Member.State = "leaving"
	r.Replace(now, []roster.Entry{leaving})
	r.Apply(now, roster.Change{Entry: roster.Entry{Key: "members/node_1", Revision: 7}, Deleted: true})
	is.Equal(len(r.Members(now)), 0)
	r.Replace(now.Add(time.Second), []roster.Entry{entry(4)})
	is.Equal(len(r.Members(now)), 0) // the list is older than the deletion
	r.Replace(now.Add(2*time.Second), []roster.Entry{entry(9)})
	is.Equal(len(r.Members(now)), 1) // the node has started again
}
