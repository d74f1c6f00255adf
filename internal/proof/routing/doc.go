// Package routing proves with real processes what the sending side of the nodes promises: bounded retries down a
// whole chain, refusal at the entry while a service further down sheds, quarantine of requests that crash backend
// servers, requests that avoid silent connections, and limits and connections that keep to what backend servers can do,
// whatever these tell of themselves.
//
// # Usage
//
//	go test ./internal/proof/routing
package routing
