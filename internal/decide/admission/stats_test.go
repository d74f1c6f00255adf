package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// phase is a number of windows in which all requests end with the same sample.
type phase struct {
	windows int
	sample  admission.Sample
}

// runPhases keeps the gate full and returns the changes of the limit in the last phase, by reason.
func runPhases(gate *admission.Gate, phases ...phase) map[admission.LimitReason]admission.LimitChange {
	now := epoch
	changes := map[admission.LimitReason]admission.LimitChange{}
	record := func() {
		change := gate.Stats(now).Change
		changes[change.Reason] = change
	}
	record()
	for _, p := range phases {
		clear(changes)
		p.sample.Kind = "sheets"
		for range 2 * p.windows {
			fillAndFinish(gate, now, p.sample)
			record()
			now = now.Add(75 * time.Millisecond)
		}
	}
	return changes
}

// fillAndFinish starts as many requests as the gate admits, offers one more than that without a free slot, and ends the
// requests in flight.
func fillAndFinish(gate *admission.Gate, now time.Time, s admission.Sample) {
	for wanted := 0; wanted <= gate.InFlight(); {
		t := newTicket(now, 0, "sheets", "crew")
		switch gate.Offer(now, t).Action {
		case admission.Enqueue:
			gate.Withdraw(t)
			wanted++
		case admission.Shed:
			wanted++
		}
	}
	for gate.InFlight() > 0 {
		gate.Finish(now, s)
	}
}

func TestLimitChangeReasons(t *testing.T) {
	good := admission.Sample{ServiceTime: 10 * time.Millisecond, HoldTime: 10 * time.Millisecond}
	late := admission.Sample{ServiceTime: 200 * time.Millisecond, HoldTime: 200 * time.Millisecond}
	overloaded := admission.Sample{Overloaded: true}
	tests := map[string]struct {
		phases []phase
		slots  int
		want   admission.LimitReason
		higher bool
	}{
		"no sample yet":                  {want: admission.LimitInitial},
		"fewer slots than initially":     {slots: 4, want: admission.LimitAnnounced},
		"used and fast from the start":   {phases: []phase{{4, good}}, want: admission.LimitColdRamp, higher: true},
		"the backend server sheds":       {phases: []phase{{4, good}, {1, overloaded}}, want: admission.LimitOverloaded},
		"fast again after a shed":        {phases: []phase{{4, good}, {1, overloaded}, {12, good}}, want: admission.LimitGrew, higher: true},
		"slow above the proven number":   {phases: []phase{{4, good}, {4, late}}, want: admission.LimitHighLatency},
		"above the announced slots":      {slots: 8, phases: []phase{{60, good}}, want: admission.LimitRaiseTrial, higher: true},
		"slow above the announced slots": {slots: 8, phases: []phase{{60, good}, {20, late}}, want: admission.LimitRaiseReverted},
		"slow for a long time":           {slots: 8, phases: []phase{{4, good}, {90, late}}, want: admission.LimitLowerTrial},
		"a lower limit did not help":     {slots: 8, phases: []phase{{4, good}, {90, late}}, want: admission.LimitLowerReverted, higher: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate := admission.NewGate(testConfig())
			if test.slots > 0 {
				gate.Announce(test.slots, 100)
			}
			changes := runPhases(gate, test.phases...)
			t.Log(changes)
			change, found := changes[test.want]
			is.True(found)
			is.Equal(change.To > change.From, test.higher)
			is.Equal(change.At.IsZero(), test.want == admission.LimitInitial)
			is.Equal(gate.Stats(epoch).Limit, gate.LimitValue())
		})
	}
}

func TestShedReasons(t *testing.T) {
	is := is.New(t)
	gate := admission.NewGate(testConfig())
	gate.Announce(1, 1)
	offer := func(now time.Time, rank int, timeLeft time.Duration) {
		ticket := newTicket(now, rank, "kind", "crew")
		ticket.Deadline = now.Add(timeLeft)
		gate.Offer(now, ticket)
	}
	offer(epoch, 0, time.Second) // runs
	for range 5 {
		offer(epoch, 7, time.Second) // four fit into the queue
	}
	offer(epoch, 2, time.Second) // displaces one of rank 7
	offer(epoch, 3, 0)
	later := epoch.Add(time.Second)
	gate.Advance(later)

	sheds := gate.Stats(later).Sheds
	is.Equal(sheds[0], admission.RankSheds{})
	is.Equal(sheds[7].ByReason[admission.ShedOverload]+sheds[7].ByReason[admission.ShedDisplaced], uint64(2))
	is.True(sheds[7].ByReason[admission.ShedDisplaced] > 0)
	is.Equal(sheds[7].ByReason[admission.ShedQueueTimeout], uint64(3))
	is.Equal(sheds[7].Last, admission.LastShed{Reason: admission.ShedQueueTimeout, Kind: "kind", At: later})
	is.Equal(sheds[3].ByReason, map[admission.ShedReason]uint64{admission.ShedDeadline: 1})
	is.Equal(sheds[3].Last.At, epoch)
	totals := gate.Totals()
	for rank := range sheds {
		var sum uint64
		for _, count := range sheds[rank].ByReason {
			sum += count
		}
		is.Equal(sum, totals.Shed[rank]+totals.Late[rank]) // each refusal has one reason
	}
}
