package once

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/keyowners"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

// Outage selects what is unreachable for a whole run.
type Outage string

// Values of Outage.
const (
	NoOutage       Outage = ""
	PlatformOutage Outage = "platform"
	// ZoneOutage cuts the first availability zone off from the others and from the platform.
	ZoneOutage Outage = "zone"
)

// outageSettleTime is the time after which every epoch agreed before the outage has ended.
var outageSettleTime = keyowners.DefaultTiming.Horizon + keyowners.DefaultTiming.TakeoverDelay + 2*time.Second

func (o Outage) start(f *fleet.Fleet) {
	if o == PlatformOutage {
		f.Store.SetFaults(store.Faults{Down: true})
		return
	}
	inside, outside := splitZone(f, f.Nodes[0].Zone)
	f.Network.SetBoth(inside, outside, proxy.Fault{Cut: true})
}

func endOutage(f *fleet.Fleet) {
	f.Network.Clear()
	f.Store.SetFaults(store.Faults{})
}

// FirstSendCounts counts the outcomes of the first sends of bookings.
type FirstSendCounts struct {
	Sent int `json:"sent"`
	Ran  int `json:"ran"`
	// Refused counts the sends with the outcome not_admitted or not_run.
	Refused int `json:"refused"`
	// SlowestRefusal is the largest latency of the refused sends.
	SlowestRefusal time.Duration `json:"slowest_refusal"`
}

func (s *FirstSendCounts) add(first Send) {
	s.Sent++
	switch first.Outcome {
	case "ran":
		s.Ran++
	case "not_admitted", "not_run":
		s.Refused++
		s.SlowestRefusal = max(s.SlowestRefusal, first.End.Sub(first.Begin))
	}
}

func countFirstSends(bookings []Booking, f *fleet.Fleet, from time.Time) map[string]FirstSendCounts {
	zones := map[string]string{}
	for _, n := range f.Nodes {
		zones[n.Caller] = n.Zone
	}
	byKind := map[string]FirstSendCounts{}
	for _, b := range bookings {
		if len(b.Sends) == 0 || b.Begin.Before(from) {
			continue
		}
		name := string(b.Kind) + " " + zones[b.Sends[0].Target]
		s := byKind[name]
		s.add(b.Sends[0])
		byKind[name] = s
	}
	return byKind
}
