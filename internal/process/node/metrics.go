package node

import (
	"context"

	"github.com/comfreyhoist/comfreyhoist/internal/control/metrics"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// metricValues reads all metrics of the node.
func (n *Node) metricValues(ctx context.Context) metrics.Values {
	b := n.loop.Snapshot()
	control := n.controller.Stats(ctx)
	load := n.gate.Load()
	totals := n.gate.Totals()
	received := n.receiver.Stats()
	return metrics.Values{
		metrics.Members:            int64(len(b.Members.ByNode)),
		metrics.MembersDown:        int64(len(control.Down)),
		metrics.Records:            int64(control.Records),
		metrics.Leads:              truth(b.Leader.IsSelf),
		metrics.LeadTerm:           int64(control.Term),
		metrics.LeaderKnown:        truth(b.Leader.Node != ""),
		metrics.PlatformReachable:  truth(b.Platform.Reachable),
		metrics.PlatformCalls:      int64(control.Counts.PlatformCalls),
		metrics.BeatsSent:          int64(control.Counts.BeatsSent),
		metrics.BeatsReceived:      int64(control.Counts.BeatsReceived),
		metrics.Repairs:            int64(control.Counts.Repairs),
		metrics.Documents:          int64(len(b.Documents.ByService)),
		metrics.Draining:           truth(b.Self.Draining),
		metrics.InFlight:           int64(load.InFlight),
		metrics.Queued:             int64(load.Queued),
		metrics.Limit:              int64(load.Limit),
		metrics.Offered:            sum(totals.Offered),
		metrics.Started:            sum(totals.Started),
		metrics.Shed:               sum(totals.Shed),
		metrics.Late:               sum(totals.Late),
		metrics.Withdrawn:          sum(totals.Withdrawn),
		metrics.Succeeded:          int64(received.Succeeded),
		metrics.Wasted:             int64(received.Wasted),
		metrics.WastedTime:         int64(received.WastedMicros),
		metrics.Quarantined:        int64(len(n.quarantine.Entries())),
		metrics.TrafficConnections: count(n.pool.OpenCounts()),
		metrics.ControlConnections: count(n.controlPool.OpenCounts()),
	}
}

func truth(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

func sum(byRank [admission.Ranks]uint64) int64 {
	var total uint64
	for _, count := range byRank {
		total += count
	}
	return int64(total)
}

func count(open map[string]int) int64 {
	total := 0
	for _, connections := range open {
		total += connections
	}
	return int64(total)
}
