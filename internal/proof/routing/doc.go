// Package routing tests the sending side of the nodes end to end with real processes: retries limited along a whole call chain,
// refusal at the entry node while a downstream service sheds, quarantine of requests that crash backend servers, detection of
// silent connections, and in-flight and connection limits that follow the capacity of backend servers rather than what they
// report.
//
// # Usage
//
//	go test ./internal/proof/routing
package routing
