package once

import (
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/homes"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/proxy"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

// Outage is what is away for a whole run.
type Outage string

// The outages.
const (
	NoOutage       Outage = ""
	PlatformOutage Outage = "platform"
	// ZoneOutage cuts the first availability zone off from the others and from the platform.
	ZoneOutage Outage = "zone"
)

// outageSettles is the time after which no epoch holds that was agreed before the outage.
var outageSettles = homes.DefaultTiming.Horizon + homes.DefaultTiming.TakeOver + 2*time.Second

func (o Outage) begin(f *fleet.Fleet) {
	if o == PlatformOutage {
		f.Store.SetFaults(store.Faults{Down: true})
		return
	}
	inside, outside := sides(f, f.Nodes[0].Zone)
	f.Network.SetBoth(inside, outside, proxy.Fault{Cut: true})
}

func restore(f *fleet.Fleet) {
	f.Network.Clear()
	f.Store.SetFaults(store.Faults{})
}

// Share is how many first sends of bookings were told to have run.
type Share struct {
	Sent int `json:"sent"`
	Ran  int `json:"ran"`
}

func shares(bookings []Booking, f *fleet.Fleet, from time.Time) map[string]Share {
	zones := map[string]string{}
	for _, n := range f.Nodes {
		zones[n.Caller] = n.Zone
	}
	byKind := map[string]Share{}
	for _, b := range bookings {
		if len(b.Sends) == 0 || b.Begin.Before(from) {
			continue
		}
		name := string(b.Kind) + " " + zones[b.Sends[0].Target]
		s := byKind[name]
		s.Sent++
		if b.Sends[0].Outcome == "ran" {
			s.Ran++
		}
		byKind[name] = s
	}
	return byKind
}
