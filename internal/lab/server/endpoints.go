package server

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
)

// Paths of the endpoints at which the server tells of itself.
const (
	HealthPath = "/healthz"
	LoadPath   = "/load"
)

// Health is what the health endpoint tells.
type Health string

// The healths. Failing comes with status 503.
const (
	Healthy Health = "healthy"
	Failing Health = "failing"
)

// Load is what the load endpoint tells.
type Load struct {
	Slots   int `json:"slots"`
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
}

// EndpointFaults is how the health and load endpoints mislead. The zero value tells the truth.
type EndpointFaults struct {
	// Lag is how old what they tell may be.
	Lag time.Duration `json:"lag"`
	// Health is told in the place of the truth; empty for the truth.
	Health Health `json:"health,omitempty"`
	// Load is told in the place of the truth; nil for the truth.
	Load *Load `json:"load,omitempty"`
}

// status is the truth at a moment.
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

// minObserveInterval is the time between looks at the truth where the endpoints don't lag.
const minObserveInterval = 10 * time.Millisecond

// observe takes down what the endpoints tell, as often as they lag.
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

// countQuery counts a question at an endpoint and returns what was last taken down.
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
