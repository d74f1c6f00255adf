// Package zonepb holds the generated messages of zone.proto and their drpc service.
//
// # Usage
//
// Run scripts/generate after a change to zone.proto and commit what it writes.
package zonepb
