// Package shell proves what the outer parts of a node promise: bad input of strangers gets a clear error and an
// event and stops nothing, and every caller gets the whole answer to its own request, whatever happens to the bytes
// between nodes.
//
// Most of the time of these tests is waiting: for deadlines of damaged requests and for timeouts of slow strangers.
// Those that look at no times of their own run side by side, each on a fleet of its own; the golden sessions run alone.
//
// # Usage
//
//	go test -race ./internal/proof/shell
//	go test -race ./internal/proof/shell -update
//
// The second command writes the golden files of whole sessions anew; read their differences before they are
// committed.
package shell
