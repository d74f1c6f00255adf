package node

import (
	"context"

	"github.com/comfreyhoist/comfreyhoist/internal/control/metrics"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/admission"
)

// metricValues returns the current values of all metrics of the node.
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
		metrics.Leads:              indicator(b.Leader.IsSelf),
		metrics.LeadTerm:           int64(control.Term),
		metrics.LeaderKnown:        indicator(b.Leader.Node != ""),
		metrics.PlatformReachable:  indicator(b.Platform.Reachable),
		metrics.PlatformCalls:      int64(control.Counts.PlatformCalls),
		metrics.HeartbeatsSent:     int64(control.Counts.HeartbeatsSent),
		metrics.HeartbeatsReceived: int64(control.Counts.HeartbeatsReceived),
		metrics.Repairs:            int64(control.Counts.Repairs),
		metrics.Documents:          int64(len(b.Documents.ByService)),
		metrics.Draining:           indicator(b.Self.Draining),
		metrics.InFlight:           int64(load.InFlight),
		metrics.Queued:             int64(load.Queued),
		metrics.Limit:              int64(load.Limit),
		metrics.Offered:            sumRanks(totals.Offered),
		metrics.Started:            sumRanks(totals.Started),
		metrics.Shed:               sumRanks(totals.Shed),
		metrics.Late:               sumRanks(totals.Late),
		metrics.Withdrawn:          sumRanks(totals.Withdrawn),
		metrics.Succeeded:          int64(received.Succeeded),
		metrics.Wasted:             int64(received.Wasted),
		metrics.WastedTime:         int64(received.WastedMicros),
		metrics.Quarantined:        int64(len(n.quarantine.Entries())),
		metrics.TrafficConnections: totalConnections(n.pool.OpenCounts()),
		metrics.ControlConnections: totalConnections(n.controlPool.OpenCounts()),
	}
}

func indicator(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

func sumRanks(byRank [admission.Ranks]uint64) int64 {
	var total uint64
	for _, count := range byRank {
		total += count
	}
	return int64(total)
}

func totalConnections(byAddress map[string]int) int64 {
	total := 0
	for _, connections := range byAddress {
		total += connections
	}
	return int64(total)
}
