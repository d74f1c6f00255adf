// Package path tests the complete path of a request through separate processes on real sockets: from the load generator through
// two nodes to a test backend server, which calls a second service through its local node.
//
// # Usage
//
//	go test ./internal/proof/path
package path
