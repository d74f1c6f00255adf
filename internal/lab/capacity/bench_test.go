package capacity

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
)

// Size of the planned fleet.
const (
	plannedNodes     = 2100
	plannedServices  = 380
	plannedDocuments = 409
	plannedZones     = 29
	plannedRegions   = 8
	nodesPerZone     = (plannedNodes + plannedZones - 1) / plannedZones
)

// plannedRecords returns the records that every node of the planned fleet holds.
func plannedRecords(sequence uint64) []membership.Record {
	var records []membership.Record
	for i := range plannedNodes {
		records = append(records, plannedMember(i).Record(membership.Version{Epoch: 1, Sequence: sequence}))
	}
	for i := range plannedDocuments {
		records = append(records, membership.Record{
			Key:     fmt.Sprintf("document/service-%d", i),
			Version: membership.Version{Epoch: 1, Sequence: sequence},
			Value:   []byte(documentOf(fmt.Sprintf("service-%d", i), 1)),
		})
	}
	return records
}

func plannedMember(number int) membership.Member {
	return membership.Member{
		Node:          fmt.Sprintf("node_%d", number),
		Zone:          fmt.Sprintf("zone_%d", number%plannedZones),
		Region:        fmt.Sprintf("region_%d", number%plannedRegions),
		PeerAddress:   "10.100.100.100:7001",
		CallerAddress: "10.100.100.100:7000",
		Service:       fmt.Sprintf("service-%d", number%plannedServices),
		Slots:         labSlots,
		Connections:   labConnections,
		State:         membership.Up,
	}
}

// BenchmarkMergeAll merges all records, as a node does after its start.
func BenchmarkMergeAll(b *testing.B) {
	records := plannedRecords(2)
	b.ReportAllocs()
	for b.Loop() {
		membership.NewRecords().Merge(records...)
	}
}

// BenchmarkMergeOne merges one changed member.
func BenchmarkMergeOne(b *testing.B) {
	store := membership.NewRecords()
	store.Merge(plannedRecords(2)...)
	member := plannedMember(7)
	sequence := uint64(2)
	b.ReportAllocs()
	for b.Loop() {
		sequence += 2
		store.Merge(member.Record(membership.Version{Epoch: 1, Sequence: sequence}))
	}
}

// BenchmarkDigest computes the digest of all records, as every heartbeat reply requires.
func BenchmarkDigest(b *testing.B) {
	store := membership.NewRecords()
	store.Merge(plannedRecords(2)...)
	b.ReportAllocs()
	for b.Loop() {
		store.Digest()
	}
}

// BenchmarkSince looks for changes when there are none, as nearly every heartbeat reply does.
func BenchmarkSince(b *testing.B) {
	store := membership.NewRecords()
	store.Merge(plannedRecords(2)...)
	last := store.LastChange()
	b.ReportAllocs()
	for b.Loop() {
		store.Since(last, 1<<20, nil)
	}
}

// BenchmarkZoneValue encodes the members of one availability zone as its leader writes them, and reports the size.
func BenchmarkZoneValue(b *testing.B) {
	var records []membership.Record
	for i := range nodesPerZone {
		records = append(records, plannedMember(i*plannedZones).Record(membership.Version{Epoch: 1, Sequence: 2}))
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		encoded, err := json.Marshal(records)
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "B/zone")
}

// BenchmarkParseDocument parses one document, as every node does for every change.
func BenchmarkParseDocument(b *testing.B) {
	source := []byte(documentOf("service-1", 1))
	b.ReportAllocs()
	b.ReportMetric(float64(len(source)), "B/document")
	for b.Loop() {
		if _, err := document.Parse(source); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStateSize reports the size in bytes of the records that every node holds and receives when it starts.
func BenchmarkStateSize(b *testing.B) {
	records := plannedRecords(2)
	size := 0
	for b.Loop() {
		size = 0
		for _, r := range records {
			size += len(r.Key) + len(r.Value)
		}
	}
	b.ReportMetric(float64(size), "B/node")
}
