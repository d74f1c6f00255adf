// Package peerpb holds the generated messages of peer.proto and their drpc service.
//
// # Usage
//
// Run scripts/generate after a change to peer.proto and commit what it writes.
package peerpb
