// Package recovery tests with real processes that overload ends with its triggers: goodput recovers within seconds after
// triggers that overlap or follow each other, and no ejection, quarantine or spent budget outlives its evidence.
//
// # Usage
//
//	go test ./internal/proof/recovery
package recovery
