package server

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/process/pause"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
)

// Report holds the ledger and the counters that a server reports to an experiment.
type Report struct {
	Service string `json:"service"`
	Runs    []Run  `json:"runs"`
	Crashes int    `json:"crashes"`
	// Shed counts the requests that were refused because all slots were busy and the queue was full.
	Shed            int `json:"shed"`
	PeakConnections int `json:"peak_connections"`
	// EndpointQueries counts the queries of the health and load endpoints.
	EndpointQueries int `json:"asked"`
}

// Report returns the contents of the ledger and the counters.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{
		Service:         s.config.Service,
		Runs:            s.ledger.Runs(),
		Crashes:         s.crashes,
		Shed:            s.shed,
		PeakConnections: s.peakConnections,
		EndpointQueries: s.endpointQueries,
	}
}

func (s *Server) handleBehaviour(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehaviour(b)
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b := s.Behaviour()
	setStatements(w.Header(), b)
	w.Header().Set(backend.ChainHeader, r.Header.Get(backend.ChainHeader)) // identifies the response
	if b.Hung {
		<-r.Context().Done()
		return
	}
	if b.FailFast {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if !s.acquireSlot(r.Context(), b) {
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.runRequest(w, r, b, body)
}

func (s *Server) runRequest(w http.ResponseWriter, r *http.Request, b Behaviour, body []byte) {
	run := s.ledger.start(r.Header.Get(RequestHeader), r.Header.Get(backend.KeyHeader))
	if b.CrashOn != "" && bytes.Contains(body, []byte(b.CrashOn)) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	pause.For(r.Context(), serviceTime(b, s.coldStartFactor(b, time.Now())))
	if r.Context().Err() != nil {
		return
	}
	if status := s.callAll(r, b); status != http.StatusOK {
		http.Error(w, "a call failed", status)
		return
	}
	if rand.Float64() < b.FailRate {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	s.ledger.end(run)
	if rand.Float64() < b.EndlessRate {
		sendEndlessly(w)
		return
	}
	if b.Echo {
		_, _ = w.Write(body)
		return
	}
	_, _ = fmt.Fprintf(w, "%s ran %s %s\n", s.config.Service, r.Method, r.URL.Path)
}

// setStatements sets the headers that say something about the server itself.
func setStatements(h http.Header, b Behaviour) {
	if b.RateLimit > 0 {
		h.Set(backend.RateLimitHeader, strconv.FormatFloat(b.RateLimit, 'f', -1, 64))
	}
	if b.StatesLeaving {
		h.Set(backend.LeavingHeader, "1")
	}
}

// sendEndlessly sends the body of a response until its connection is closed.
func sendEndlessly(w http.ResponseWriter) {
	block := make([]byte, 32<<10)
	for err := error(nil); err == nil; {
		_, err = w.Write(block)
	}
}

// acquireSlot waits for a slot, in the queue if none is free. It reports false if the queue is full or the context
// ends.
func (s *Server) acquireSlot(ctx context.Context, b Behaviour) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if !s.adjustQueue(1, b.Queue) {
		return false
	}
	defer s.adjustQueue(-1, b.Queue)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// adjustQueue changes the number of waiting requests. If the queue is full, it counts a shed request and reports false.
func (s *Server) adjustQueue(change, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change > 0 && s.waiting >= limit {
		s.shed++
		return false
	}
	s.waiting += change
	return true
}

func (s *Server) crash() {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	select {
	case s.crashed <- struct{}{}:
	default:
	}
}

func serviceTime(b Behaviour, coldFactor float64) time.Duration {
	factor := coldFactor * (1 + b.Spread*(2*rand.Float64()-1))
	return time.Duration(float64(b.ServiceTime) * factor)
}

// callAll makes the calls to other services and returns the first status that is not 200 OK.
func (s *Server) callAll(r *http.Request, b Behaviour) int {
	for _, d := range b.Calls {
		if !strings.HasPrefix(r.URL.Path, d.Prefix) {
			continue
		}
		if status := s.callOne(r, d); status != http.StatusOK {
			return status
		}
	}
	return http.StatusOK
}

func (s *Server) callOne(r *http.Request, d DownstreamCall) int {
	address := "http://" + s.config.NodeCaller + "/call/" + d.Service + d.Path
	request, err := http.NewRequestWithContext(r.Context(), d.Method, address, http.NoBody)
	if err != nil {
		return http.StatusInternalServerError
	}
	request.Header.Set(backend.ChainHeader, r.Header.Get(backend.ChainHeader))
	request.Header.Set(RequestHeader, r.Header.Get(RequestHeader))
	response, err := s.client.Do(request)
	if err != nil {
		return http.StatusBadGateway
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return http.StatusBadGateway
	}
	return response.StatusCode
}

// announceInterval is the time between announcements.
const announceInterval = 500 * time.Millisecond

// announce announces the server to the local node every announceInterval, and five times as often while announcements
// fail. A hung server does not announce itself.
func (s *Server) announce(ctx context.Context) {
	for ctx.Err() == nil {
		interval := announceInterval
		if !s.Behaviour().Hung && s.announceOnce(ctx) != nil {
			interval /= 5
		}
		pause.For(ctx, interval)
	}
}

func (s *Server) announceOnce(ctx context.Context) error {
	body, err := json.Marshal(backend.Announcement{
		Service:     s.config.Service,
		Address:     s.config.Address,
		Slots:       cmp.Or(s.config.AnnouncedSlots, s.config.Slots),
		Connections: s.config.Connections,
		Leaving:     s.Behaviour().Leaving,
	})
	if err != nil {
		return err
	}
	address := "http://" + s.config.NodeBackend + backend.AnnouncePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
