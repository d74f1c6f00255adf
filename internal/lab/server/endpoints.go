package server

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// Paths of the endpoints that report the server's health and load.
const (
	HealthPath = "/healthz"
	LoadPath   = "/load"
)

// Health is the status that the health endpoint reports.
type Health string

// Values of Health. The endpoint sends Failing with status 503.
const (
	Healthy Health = "healthy"
	Failing Health = "failing"
)

// Load is the response of the load endpoint.
type Load struct {
	Slots   int `json:"slots"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
}

// EndpointFaults makes the health and load endpoints report stale or false values. The zero value makes them accurate.
type EndpointFaults struct {
	// Lag is the maximum age of the reported values.
	Lag time.Duration `json:"lag"`
	// Health replaces the actual health if it is not empty.
	Health Health `json:"health,omitempty"`
	// Load replaces the actual load if it is not nil.
	Load *Load `json:"load,omitempty"`
}

// status is the actual health and load of the server at one moment.
type status struct {
	health Health
	load   Load
}

func (s *Server) status() status {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := status{health: Healthy, load: Load{Slots: s.config.Slots, Busy: len(s.slots), Waiting: s.waiting}}
	if s.behaviour.FailFast {
		current.health = Failing
	}
	return current
}

// minObserveInterval is the time between two observations of the status when Lag is shorter.
const minObserveInterval = 10 * time.Millisecond

// observe records the status that the endpoints report, once per lag interval.
func (s *Server) observe(ctx context.Context) {
	for ctx.Err() == nil {
		current := s.status()
		s.mu.Lock()
		s.observed = current
		lag := s.behaviour.Endpoints.Lag
		s.mu.Unlock()
		pause.For(ctx, max(lag, minObserveInterval))
	}
}

// countQuery counts a query of the health or load endpoint and returns the last observed status and the endpoint
// faults.
func (s *Server) countQuery() (status, EndpointFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpointQueries++
	return s.observed, s.behaviour.Endpoints
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	observed, endpoints := s.countQuery()
	health := cmp.Or(endpoints.Health, observed.health)
	if health != Healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, health)
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	observed, endpoints := s.countQuery()
	if endpoints.Load != nil {
		writeJSON(w, endpoints.Load)
		return
	}
	writeJSON(w, observed.load)
}
