// Package recovery proves with real processes that overload passes when its triggers do: goodput is back within
// seconds after several triggers together or in a row, and nothing that nodes learned meanwhile outlives its evidence.
//
// # Usage
//
//	go test ./internal/proof/recovery
package recovery
