// Package path proves that one request goes the whole way through separate processes on real sockets: from the load
// generator over two nodes to a stand-in backend server, which calls a second service through its local node.
//
// # Usage
//
//	go test ./internal/proof/path
package path
