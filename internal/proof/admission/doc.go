// Package admission proves with real processes what admission promises: the most urgent work is shed last, floods of
// one kind or one caller leave the others their share, overload passes within seconds, and what is given up is
// answered at once.
//
// # Usage
//
//	go test ./internal/proof/admission
package admission
