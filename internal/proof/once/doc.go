// Package once tests idempotency keys end to end with real processes: a non-idempotent request runs at most once, the outcome
// that a caller is told is true, and planned stops interrupt no request.
//
// # Usage
//
//	go test ./internal/proof/once
//
// Longer runs with other seeds: hoistlab once -seed N -duration D
package once
