// Package admission tests admission control end to end with real processes. The tests check that the most urgent work is
// shed last, that a flood of one kind or one caller does not take the capacity of the others, that goodput recovers
// within seconds after an overload, and that refused requests are answered early.
//
// # Usage
//
//	go test ./internal/proof/admission
package admission
