package node

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// WriteTable prints the dump for people. Ages count up to the time.
func (d Dump) WriteTable(w io.Writer, now time.Time) error {
	t := &tables{writer: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	d.writeNode(t)
	d.writeDocuments(t, now)
	d.writeMembers(t)
	d.writeHomes(t, now)
	d.writeAdmission(t)
	d.writeInstances(t)
	d.writeBudgets(t)
	d.writeQuarantine(t, now)
	d.writeConnections(t)
	return trace.Wrap(t.writer.Flush())
}

// columnGap is the least number of spaces between columns.
const columnGap = 2

// tables prints sections of rows; the first error stays with the writer, which gives it back on Flush.
type tables struct {
	writer *tabwriter.Writer
}

func (t *tables) section(title string, headings ...any) {
	_, _ = fmt.Fprintf(t.writer, "\n%s\n", title)
	t.row(headings...)
}

func (t *tables) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(t.writer, "\t")
		}
		_, _ = fmt.Fprint(t.writer, cell)
	}
	_, _ = fmt.Fprintln(t.writer)
}

func (d Dump) writeNode(t *tables) {
	b := d.Board
	t.row("node", b.Self.Node)
	t.row("zone", b.Self.Zone)
	t.row("draining", b.Self.Draining)
	t.row("backend server", fmt.Sprintf("%s at %s, %d slots, %d connections", b.Backend.Service, b.Backend.Address, b.Backend.Slots, b.Backend.Connections))
	t.row("role", d.Control.Role)
	t.row("leader", fmt.Sprintf("%s, leased %t", orNone(b.Leader.Node), b.Leader.Leased))
	t.row("followed", fmt.Sprintf("%s, relayed %t", orNone(d.Control.Followed), d.Control.Relayed))
	t.row("lease", fmt.Sprintf("term %d, %s left", d.Control.Term, milliseconds(d.Control.LeaseLeft)))
	t.row("platform", fmt.Sprintf("reachable %t", b.Platform.Reachable))
	t.row("records", fmt.Sprintf("%d, digest %016x", d.Control.Records, d.Control.Digest))
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

func (d Dump) writeDocuments(t *tables, now time.Time) {
	t.section("DOCUMENTS", "SERVICE", "TEAM", "REVISION", "EDITOR", "OPERATION", "IN FORCE FOR")
	for _, service := range slices.Sorted(maps.Keys(d.Board.Documents.ByService)) {
		in := d.Board.Documents.ByService[service]
		t.row(service, in.Document.Team, in.Revision, in.Editor, in.Operation, now.Sub(in.InForce).Round(time.Second))
	}
}

func (d Dump) writeMembers(t *tables) {
	t.section("MEMBERS", "NODE", "ZONE", "SERVICE", "STATE", "SLOTS", "SILENT FOR", "ADDRESS")
	for _, node := range slices.Sorted(maps.Keys(d.Board.Members.ByNode)) {
		m := d.Board.Members.ByNode[node]
		t.row(m.Node, m.Zone, orNone(m.Service), stateOf(m), m.Slots, d.silence(node), m.PeerAddress)
	}
	for _, node := range d.Control.Down {
		t.row(node, "", "", "down", "", "", "")
	}
	for _, zone := range slices.Sorted(maps.Keys(d.Control.Lapsed)) {
		t.row("", zone, "", "no leader", "", milliseconds(d.Control.Lapsed[zone]), "")
	}
}

// silence is known for the members that send heartbeats to this node.
func (d Dump) silence(node string) string {
	silent, known := d.Control.Silence[node]
	if !known {
		return "-"
	}
	return milliseconds(silent).String()
}

func (d Dump) writeHomes(t *tables, now time.Time) {
	t.section("HOMES", "SHARD", "KEPT BY", "FROM", "UNTIL", "MEMBERS")
	for _, name := range slices.Sorted(maps.Keys(d.Board.Homes.Shards)) {
		for _, e := range d.Board.Homes.Shards[name].Epochs {
			t.row(name, e.Zone, since(now, e.Start), since(now, e.Until), len(e.Members))
		}
	}
}

// since shows a time in Unix milliseconds by its distance from now.
func since(now time.Time, at int64) string {
	return fmt.Sprintf("%+.1fs", time.UnixMilli(at).Sub(now).Seconds())
}

func (d Dump) writeAdmission(t *tables) {
	title := fmt.Sprintf("ADMISSION: %d in flight, %d queued, limit %d", d.Load.InFlight, d.Load.Queued, d.Load.Limit)
	t.section(title, "RANK", "QUEUED", "OFFERED", "STARTED", "SHED", "LATE", "WITHDRAWN")
	for rank, queued := range d.QueuedByRank {
		a := d.Admission
		t.row(rank, queued, a.Offered[rank], a.Started[rank], a.Shed[rank], a.Late[rank], a.Withdrawn[rank])
	}
}

func (d Dump) writeInstances(t *tables) {
	t.section("INSTANCES", "NODE", "IN FLIGHT", "LATENCY", "ERROR RATE", "LIMIT", "FAILURES", "EJECTED FOR", "SHEDS RANK", "FOR")
	for _, node := range slices.Sorted(maps.Keys(d.Sender.Instances)) {
		i := d.Sender.Instances[node]
		t.row(node, i.InFlight, milliseconds(i.Latency), fmt.Sprintf("%.2f", i.ErrorRate), i.Limit, i.Failures,
			milliseconds(i.EjectedLeft), i.SheddingRank, milliseconds(i.ShedLeft))
	}
}

func (d Dump) writeBudgets(t *tables) {
	t.section("RETRY BUDGETS", "SERVICE", "ATTEMPTS LEFT")
	for _, service := range slices.Sorted(maps.Keys(d.Sender.Budgets)) {
		t.row(service, fmt.Sprintf("%.1f", d.Sender.Budgets[service]))
	}
}

func (d Dump) writeQuarantine(t *tables, now time.Time) {
	t.section("QUARANTINE", "FINGERPRINT", "CRASHES", "REFUSED FOR")
	for _, e := range d.Quarantine {
		t.row(fmt.Sprintf("%+v", e.Fingerprint), e.Crashes, max(0, e.Until.Sub(now)).Round(time.Second))
	}
}

func (d Dump) writeConnections(t *tables) {
	t.section("CONNECTIONS", "ADDRESS", "REQUESTS", "CONTROL")
	addresses := map[string]bool{}
	for address := range d.Connections {
		addresses[address] = true
	}
	for address := range d.ControlConnections {
		addresses[address] = true
	}
	for _, address := range slices.Sorted(maps.Keys(addresses)) {
		t.row(address, d.Connections[address], d.ControlConnections[address])
	}
}

// stateOf returns the member's state as the table shows it.
func stateOf(m membership.Member) string {
	if m.State == membership.Up && m.Lost {
		return "backend lost"
	}
	return string(m.State)
}
