package node

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
	"github.com/comfreyhoist/comfreyhoist/internal/process/terminal"
)

// WriteTable writes the dump as tables for an operator. Ages are relative to now.
func (d Dump) WriteTable(w io.Writer, now time.Time) error {
	t := terminal.NewTable(w)
	d.writeNode(t)
	d.writeDocuments(t, now)
	d.writeMembers(t)
	d.writeKeyOwners(t, now)
	d.writeAdmission(t, now)
	d.writeSheds(t, now)
	d.writeThrottles(t, now)
	d.writeInstances(t)
	d.writeEjections(t, now)
	d.writeBudgets(t)
	d.writeQuarantine(t, now)
	d.writeConnections(t)
	return trace.Wrap(t.Flush())
}

func (d Dump) writeNode(t *terminal.Table) {
	b := d.Board
	t.Row("node", b.Self.Node)
	t.Row("zone", b.Self.Zone)
	t.Row("draining", b.Self.Draining)
	t.Row("backend server", fmt.Sprintf("%s at %s, %d slots, %d connections", b.Backend.Service, b.Backend.Address, b.Backend.Slots, b.Backend.MaxConnections))
	t.Row("role", d.Control.Role)
	t.Row("leader", fmt.Sprintf("%s, leased %t", orNone(b.Leader.Node), b.Leader.Leased))
	t.Row("followed", fmt.Sprintf("%s, relayed %t", orNone(d.Control.Followed), d.Control.Relayed))
	t.Row("lease", fmt.Sprintf("term %d, %s left", d.Control.Term, milliseconds(d.Control.LeaseRemaining)))
	t.Row("platform", fmt.Sprintf("reachable %t", b.Platform.Reachable))
	t.Row("records", fmt.Sprintf("%d, digest %016x", d.Control.Records, d.Control.Digest))
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

func (d Dump) writeDocuments(t *terminal.Table, now time.Time) {
	t.Section("DOCUMENTS", "SERVICE", "TEAM", "REVISION", "EDITOR", "OPERATION", "IN FORCE FOR")
	for _, service := range slices.Sorted(maps.Keys(d.Board.Documents.ByService)) {
		inForce := d.Board.Documents.ByService[service]
		t.Row(service, inForce.Document.Team, inForce.Revision, inForce.Editor, inForce.Operation, now.Sub(inForce.InForceSince).Round(time.Second))
	}
}

func (d Dump) writeMembers(t *terminal.Table) {
	t.Section("MEMBERS", "NODE", "ZONE", "SERVICE", "STATE", "SLOTS", "SILENT FOR", "ADDRESS")
	for _, node := range slices.Sorted(maps.Keys(d.Board.Members.ByNode)) {
		m := d.Board.Members.ByNode[node]
		t.Row(m.Node, m.Zone, orNone(m.Service), displayState(m), m.Slots, d.silenceOf(node), m.PeerAddress)
	}
	for _, node := range d.Control.Down {
		t.Row(node, "", "", "down", "", "", "")
	}
	for _, zone := range slices.Sorted(maps.Keys(d.Control.LeaderlessZones)) {
		t.Row("", zone, "", "no leader", "", milliseconds(d.Control.LeaderlessZones[zone]), "")
	}
}

// silenceOf returns the time since the last heartbeat of the member, or "-" if it sends no heartbeats to this node.
func (d Dump) silenceOf(node string) string {
	silent, known := d.Control.Silence[node]
	if !known {
		return "-"
	}
	return milliseconds(silent).String()
}

func (d Dump) writeKeyOwners(t *terminal.Table, now time.Time) {
	t.Section("HOMES", "SHARD", "KEPT BY", "FROM", "UNTIL", "MEMBERS")
	for _, name := range slices.Sorted(maps.Keys(d.Board.KeyOwners.Shards)) {
		for _, e := range d.Board.KeyOwners.Shards[name].Epochs {
			t.Row(name, e.Zone, relativeTime(now, e.Start), relativeTime(now, e.Until), len(e.Members))
		}
	}
}

// relativeTime formats a time in Unix milliseconds as its signed offset from now, in seconds.
func relativeTime(now time.Time, at int64) string {
	return fmt.Sprintf("%+.1fs", time.UnixMilli(at).Sub(now).Seconds())
}

func (d Dump) writeAdmission(t *terminal.Table, now time.Time) {
	title := fmt.Sprintf("ADMISSION: %d in flight, %d queued, limit %d", d.Load.InFlight, d.Load.Queued, d.Load.Limit)
	t.Section(title, "RANK", "QUEUED", "OFFERED", "STARTED", "SHED", "LATE", "WITHDRAWN")
	for rank, queued := range d.QueuedByRank {
		a := d.Admission
		t.Row(rank, queued, a.Offered[rank], a.Started[rank], a.Shed[rank], a.Late[rank], a.Withdrawn[rank])
	}
	t.Section("LIMIT", "LIMIT", "BEFORE", "REASON", "AGO", "CEILING", "PROVEN")
	change := d.Gate.Change
	t.Row(d.Gate.Limit, change.From, change.Reason, ago(now, change.At), d.Gate.Ceiling, d.Gate.Proven)
}

// ago formats the time elapsed since at, or "-" if at is zero.
func ago(now, at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return now.Sub(at).Round(100 * time.Millisecond).String()
}

func (d Dump) writeSheds(t *terminal.Table, now time.Time) {
	t.Section("REFUSED AT THE GATE", "RANK", "REASON", "REQUESTS", "LAST KIND", "AGO")
	for rank, s := range d.Gate.Sheds {
		for _, reason := range slices.Sorted(maps.Keys(s.ByReason)) {
			kind, at := "", "-"
			if reason == s.Last.Reason {
				kind, at = s.Last.Kind, ago(now, s.Last.At)
			}
			t.Row(rank, reason, s.ByReason[reason], kind, at)
		}
	}
}

func (d Dump) writeThrottles(t *terminal.Table, now time.Time) {
	t.Section("REFUSED AT THE ENTRY", "SERVICE", "KIND", "RANK", "REASON", "SHARE", "ACCEPTED", "REFUSED BELOW", "AGO", "LAST REFUSED HERE", "AGO")
	for _, s := range d.Sender.Throttles {
		t.Row(s.Service, s.Kind, s.Rank, s.Reason, fmt.Sprintf("%.2f", s.RefusedRatio), fmt.Sprintf("%.0f", s.Accepted),
			fmt.Sprintf("%.0f", s.RefusedBelow), ago(now, s.LastBelow), orNone(string(s.LastHere.Reason)), ago(now, s.LastHere.At))
	}
}

// writeEjections writes the last reason why each instance was passed over, including instances that now get requests
// again.
func (d Dump) writeEjections(t *terminal.Table, now time.Time) {
	t.Section("PASSED OVER", "NODE", "REASON", "EVIDENCE", "AGO", "FOR")
	for _, node := range slices.Sorted(maps.Keys(d.Sender.Instances)) {
		i := d.Sender.Instances[node]
		if e := i.Ejection; e.Reason != "" {
			t.Row(node, e.Reason, fmt.Sprintf("%d failures, last %s", e.Failures, e.LastFailure), ago(now, e.At), milliseconds(i.EjectionRemaining))
		}
		if e := i.LastShed; e.Reason != "" {
			t.Row(node, e.Reason, fmt.Sprintf("rank %d, %s", i.SheddingRank, e.InstanceReason), ago(now, e.At), milliseconds(i.ShedRemaining))
		}
	}
}

// formatCrashes lists the crashes that are attributed to a quarantined request.
func formatCrashes(e quarantine.Entry, now time.Time) string {
	var crashes []string
	for _, crash := range e.Evidence {
		crashes = append(crashes, fmt.Sprintf("%s %s ago", crash.Source, ago(now, crash.At)))
	}
	return strings.Join(crashes, ", ")
}

func (d Dump) writeInstances(t *terminal.Table) {
	t.Section("INSTANCES", "NODE", "IN FLIGHT", "LATENCY", "ERROR RATE", "LIMIT", "FAILURES", "EJECTED FOR", "SHEDS RANK", "FOR")
	for _, node := range slices.Sorted(maps.Keys(d.Sender.Instances)) {
		i := d.Sender.Instances[node]
		t.Row(node, i.InFlight, milliseconds(i.Latency), fmt.Sprintf("%.2f", i.ErrorRate), i.Limit, i.Failures,
			milliseconds(i.EjectionRemaining), i.SheddingRank, milliseconds(i.ShedRemaining))
	}
}

func (d Dump) writeBudgets(t *terminal.Table) {
	t.Section("RETRY BUDGETS", "SERVICE", "ATTEMPTS LEFT")
	for _, service := range slices.Sorted(maps.Keys(d.Sender.Budgets)) {
		t.Row(service, fmt.Sprintf("%.1f", d.Sender.Budgets[service]))
	}
}

func (d Dump) writeQuarantine(t *terminal.Table, now time.Time) {
	t.Section("QUARANTINE", "FINGERPRINT", "REASON", "CRASHES", "REFUSED FOR", "EVIDENCE")
	for _, e := range d.Quarantine {
		t.Row(fmt.Sprintf("%+v", e.Fingerprint), e.Reason, e.Crashes, max(0, e.Until.Sub(now)).Round(time.Second), formatCrashes(e, now))
	}
}

func (d Dump) writeConnections(t *terminal.Table) {
	t.Section("CONNECTIONS", "ADDRESS", "REQUESTS", "CONTROL")
	addresses := map[string]bool{}
	for address := range d.Connections {
		addresses[address] = true
	}
	for address := range d.ControlConnections {
		addresses[address] = true
	}
	for _, address := range slices.Sorted(maps.Keys(addresses)) {
		t.Row(address, d.Connections[address], d.ControlConnections[address])
	}
}

// displayState returns the member's state as shown in the table.
func displayState(m membership.Member) string {
	if m.State == membership.Up && m.BackendLost {
		return "backend lost"
	}
	return string(m.State)
}
