// Package control proves the control plane with real node processes: documents that race, get lost answers or meet a
// restored platform; leaders that die, freeze or are cut off; and availability zones that go on alone.
//
// # Usage
//
//	go test -race ./internal/proof/control
package control
