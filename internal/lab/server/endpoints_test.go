package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

func TestEndpointsReportStaleAndFalseValues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const lag = time.Second
		s := New(Config{Slots: 1, Behaviour: Behaviour{Endpoints: EndpointFaults{Lag: lag}}})
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		defer group.Wait()
		defer cancel()
		group.Go(func() { s.observe(ctx) })
		synctest.Wait()
		b := s.Behaviour()
		b.FailFast = true
		s.SetBehaviour(b)
		is.Equal(get(s, HealthPath), `200 "healthy"`) // still the status observed before the change
		time.Sleep(lag)
		synctest.Wait()
		is.Equal(get(s, HealthPath), `503 "failing"`)
		is.Equal(get(s, LoadPath), `200 {"slots":1,"busy":0,"waiting":0}`)
		b.Endpoints = EndpointFaults{Health: Healthy, Load: &Load{Slots: 1, Busy: 1, Waiting: 7}}
		s.SetBehaviour(b)
		is.Equal(get(s, HealthPath), `200 "healthy"`)
		is.Equal(get(s, LoadPath), `200 {"slots":1,"busy":1,"waiting":7}`)
		is.Equal(s.Report().EndpointQueries, 5)
	})
}

// get returns the status code and the body of an endpoint's response.
func get(s *Server, path string) string {
	w := httptest.NewRecorder()
	s.router().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
	return fmt.Sprint(w.Code, " ", strings.TrimSpace(w.Body.String()))
}
