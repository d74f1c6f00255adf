// Package once proves with real processes that a non-idempotent request runs at most once, that what callers are
// told is true, and that planned stops cut nothing.
//
// # Usage
//
//	go test ./internal/proof/once
//
// A long run with other seeds is "hoistlab once -seed N -duration D".
package once
