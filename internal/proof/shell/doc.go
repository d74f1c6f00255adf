// Package shell tests the input handling of a node end to end. Invalid input from clients must get a clear error and an event,
// and must not affect other requests. Every caller must get the complete response to its own request, whatever happens to the
// bytes between nodes.
//
// These tests spend most of their time waiting for deadlines of damaged requests and for timeouts of slow clients. Tests that
// don't measure times run in parallel, each on its own fleet; the golden sessions run alone.
//
// # Usage
//
//	go test -race ./internal/proof/shell
//	go test -race ./internal/proof/shell -update
//
// The second command rewrites the golden files of the sessions; review their differences before committing them.
package shell
