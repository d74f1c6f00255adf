// Package control tests the control plane end to end with real node processes: documents under concurrent writes, lost
// responses and a restored platform; availability zone leaders that crash, freeze or are partitioned; and availability
// zones that are isolated from the others.
//
// # Usage
//
//	go test -race ./internal/proof/control
package control
