// Package routing proves with real processes what the sending side of the nodes promises: bounded retries down a
// whole chain, refusal at the entry while a service further down sheds, quarantine of requests that crash backend
// servers, and requests that avoid silent connections.
//
// # Usage
//
//	go test ./internal/proof/routing
package routing
