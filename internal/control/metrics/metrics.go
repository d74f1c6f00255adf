// Package metrics publishes the metrics of a node through expvar and holds their catalogue, from which docs/METRICS.md
// is generated.
//
// # Usage
//
//	metrics.Publish(func() metrics.Values { return metrics.Values{metrics.Members: 12, metrics.Documents: 8} })
//
// GET /debug/vars then returns them under "comfreyhoist", together with the variables of the Go runtime.
package metrics

import (
	"expvar"
	"fmt"
	"slices"
	"strings"
)

// Name is the name of a metric in snake case.
type Name string

// The metrics.
const (
	Members            Name = "members"
	MembersDown        Name = "members_down"
	Records            Name = "records"
	Leads              Name = "leads"
	LeadTerm           Name = "lead_term"
	LeaderKnown        Name = "leader_known"
	PlatformReachable  Name = "platform_reachable"
	PlatformCalls      Name = "platform_calls"
	HeartbeatsSent     Name = "beats_sent"
	HeartbeatsReceived Name = "beats_received"
	Repairs            Name = "repairs"
	Documents          Name = "documents"
	Draining           Name = "draining"
	InFlight           Name = "in_flight"
	Queued             Name = "queued"
	Limit              Name = "limit"
	Offered            Name = "offered"
	Started            Name = "started"
	Shed               Name = "shed"
	Late               Name = "late"
	Withdrawn          Name = "withdrawn"
	Succeeded          Name = "succeeded"
	Wasted             Name = "wasted"
	WastedTime         Name = "wasted_time"
	Quarantined        Name = "quarantined"
	TrafficConnections Name = "traffic_connections"
	ControlConnections Name = "control_connections"
)

// Kind is the type of a metric.
type Kind string

// The kinds.
const (
	// Gauge can increase and decrease.
	Gauge Kind = "gauge"
	// Counter only increases, starting at 0 when the process starts.
	Counter Kind = "counter"
)

// Entry is the catalogue entry of one metric.
type Entry struct {
	Name Name
	Kind Kind
	Unit string
	Text string
	// Alarm describes the values that an operator should investigate; empty if there are none.
	Alarm string
}

// Catalogue has an entry for every metric, in the order of the page.
var Catalogue = []Entry{
	{Name: Members, Kind: Gauge, Unit: "nodes", Text: "Members known here that are not down.", Alarm: "Far fewer than there are instances: the node or its availability zone is cut off."},
	{Name: MembersDown, Kind: Gauge, Unit: "nodes", Text: "Members known to be down, until they are forgotten after an hour."},
	{Name: Records, Kind: Gauge, Unit: "records", Text: "Records of members, documents, leaders and key owners held here."},
	{Name: Leads, Kind: Gauge, Unit: "0 or 1", Text: "1 where this node leads its availability zone under a lease.", Alarm: "The sum over an availability zone is 0 for more than a few seconds."},
	{Name: LeadTerm, Kind: Gauge, Unit: "term", Text: "Term of the lease that this node holds or held last."},
	{Name: LeaderKnown, Kind: Gauge, Unit: "0 or 1", Text: "1 where the node leads or follows a leader.", Alarm: "0 for more than a few seconds."},
	{Name: PlatformReachable, Kind: Gauge, Unit: "0 or 1", Text: "1 where the platform answered this node's last call. Only leaders and nodes without a leader call it.", Alarm: "0 on a leader."},
	{Name: PlatformCalls, Kind: Counter, Unit: "calls", Text: "Calls of the platform for leases, leaders, members and watches."},
	{Name: HeartbeatsSent, Kind: Counter, Unit: "heartbeats", Text: "Heartbeats sent to other nodes."},
	{Name: HeartbeatsReceived, Kind: Counter, Unit: "heartbeats", Text: "Heartbeats taken from other nodes."},
	{Name: Repairs, Kind: Counter, Unit: "comparisons", Text: "Comparisons of digests after heartbeats that left a difference.", Alarm: "Grows steadily on a fleet in which nothing changes."},
	{Name: Documents, Kind: Gauge, Unit: "documents", Text: "Documents in force on this node.", Alarm: "Differs between nodes for more than 4 seconds."},
	{Name: Draining, Kind: Gauge, Unit: "0 or 1", Text: "1 from the start of a planned stop on."},
	{Name: InFlight, Kind: Gauge, Unit: "requests", Text: "Requests on the local backend server."},
	{Name: Queued, Kind: Gauge, Unit: "requests", Text: "Requests that wait for a slot."},
	{Name: Limit, Kind: Gauge, Unit: "requests", Text: "Adaptive concurrency limit of the local backend server."},
	{Name: Offered, Kind: Counter, Unit: "requests", Text: "Requests that asked for a slot."},
	{Name: Started, Kind: Counter, Unit: "requests", Text: "Requests that got a slot."},
	{Name: Shed, Kind: Counter, Unit: "requests", Text: "Requests refused for overload.", Alarm: "Grows while the backend servers have free slots."},
	{Name: Late, Kind: Counter, Unit: "requests", Text: "Requests refused because their deadline left no time."},
	{Name: Withdrawn, Kind: Counter, Unit: "requests", Text: "Requests whose caller went away while they waited."},
	{Name: Succeeded, Kind: Counter, Unit: "requests", Text: "Requests that the backend server answered whole, below status 500."},
	{Name: Wasted, Kind: Counter, Unit: "requests", Text: "Requests that used the backend server and did not succeed.", Alarm: "Grows as fast as succeeded does."},
	{Name: WastedTime, Kind: Counter, Unit: "microseconds", Text: "Time for which wasted requests held a slot."},
	{Name: Quarantined, Kind: Gauge, Unit: "requests", Text: "Fingerprints of requests with crashes against them.", Alarm: "More than 0: see the poison request page in OPERATORS.md."},
	{Name: TrafficConnections, Kind: Gauge, Unit: "connections", Text: "Connections to other nodes for requests."},
	{Name: ControlConnections, Kind: Gauge, Unit: "connections", Text: "Connections to other nodes for heartbeats."},
}

// Values are the values of all metrics at one point in time.
type Values map[Name]int64

// Variable is the name of the metrics in /debug/vars.
const Variable = "comfreyhoist"

// Publish publishes the values returned by read. Only the first call in a process has an effect.
func Publish(read func() Values) {
	if expvar.Get(Variable) == nil {
		expvar.Publish(Variable, expvar.Func(func() any { return read() }))
	}
}

// Page is the file name of the page.
const Page = "METRICS.md"

const pageHeader = "# Metrics\n\n" +
	"Every node serves its metrics as JSON by expvar, at `/debug/vars` of its `backend.address`, under `comfreyhoist`.\n" +
	"This page is written by `comfreyhoist events -markdown docs`.\n\n" +
	"| Name | Kind | Unit | Text | Look when |\n| --- | --- | --- | --- | --- |\n"

// Markdown returns the text of the page.
func Markdown() string {
	var b strings.Builder
	b.WriteString(pageHeader)
	for _, e := range Catalogue {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", e.Name, e.Kind, e.Unit, e.Text, e.Alarm)
	}
	return b.String()
}

// Names returns the names of all metrics, sorted.
func Names() []Name {
	var names []Name
	for _, e := range Catalogue {
		names = append(names, e.Name)
	}
	slices.Sort(names)
	return names
}
