package main

import (
	"net/http"
	"strconv"
)

// The hosts of the routes to the services archive and orders.
const (
	archiveHost = "archive.example"
	ordersHost  = "orders.example"
)

// archiveRoute returns a route of idempotent requests to the service archive.
func archiveRoute(timeout string) route {
	return route{
		Name: "r-archive", Host: archiveHost, Prefix: "/archive/", Kind: "safe", Timeout: timeout, Target: "1500ms", Priority: 1,
		Service: "archive", MaxAttempts: 2,
	}
}

// ordersRoute returns a route of non-idempotent requests to the service orders.
func ordersRoute(timeout string, priority int) route {
	return route{
		Name: "r-orders", Host: ordersHost, Prefix: "/orders/", Kind: "non_idempotent", Timeout: timeout, Target: "4000ms",
		Priority: priority, Service: "orders", MaxAttempts: 2,
	}
}

// writeAnswer writes a signed answer of the given size.
func writeAnswer(w http.ResponseWriter, id string, size int) {
	w.Header().Set(signatureHeader, "s."+id+"."+strconv.Itoa(size))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size))
}
