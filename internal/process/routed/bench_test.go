package routed_test

import (
	"net/http"
	"testing"
)

// BenchmarkCall measures one call from a caller through the entry node to the node beside the backend server. Caller,
// both nodes and backend server run in one process.
func BenchmarkCall(b *testing.B) {
	f := newFleet(b, twoServices(1))
	crew := f.add(b, "zone_1", "crew", hello)
	f.add(b, "zone_1", "bookings", hello)
	f.waitReady(b)
	client := &http.Client{}
	b.ReportAllocs()
	for b.Loop() {
		if got := crew.call(b, client, "POST", "deposits.example", "/b"); got.status != http.StatusOK {
			b.Fatal(got)
		}
	}
}
