// Package shell proves what the outer parts of a node promise: bad input of strangers gets a clear error and an
// event and stops nothing, and every caller gets the whole answer to its own request, whatever happens to the bytes
// between nodes.
//
// # Usage
//
//	go test -race ./internal/proof/shell
//	go test -race ./internal/proof/shell -update
//
// The second command writes the golden files of whole sessions anew; read their differences before they are
// committed.
package shell
