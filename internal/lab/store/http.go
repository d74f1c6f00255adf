package store

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
)

// Handler returns the HTTP API of the store, with the extra endpoints /faults and /counts for experiments.
func (s *Store) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/v1/key", s.read(s.handleGet))
	router.GET("/v1/list", s.read(s.handleList))
	router.GET("/v1/watch", s.read(s.handleWatch))
	router.PUT("/v1/key", s.write(s.handleSwap))
	router.POST("/v1/lease", s.write(s.handleGrant))
	router.PUT("/v1/lease", s.write(s.handleRenew))
	router.PUT("/faults", s.handleFaults)
	router.GET("/counts", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { writeJSON(w, s.Counts()) })
	return router
}

// operation handles one call and returns the response.
type operation func(r *http.Request) (status int, body any)

func (s *Store) read(f operation) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if s.applyFaults(w, func(c *Counts) { c.Reads++ }) {
			return
		}
		status, body := f(r)
		writeReply(w, status, body)
	}
}

func (s *Store) write(f operation) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if s.applyFaults(w, func(c *Counts) { c.Writes++ }) {
			return
		}
		faults := s.Faults()
		if faults.LoseWrites {
			panic(http.ErrAbortHandler)
		}
		status, body := f(r)
		if faults.LoseAnswers {
			panic(http.ErrAbortHandler)
		}
		writeReply(w, status, body)
	}
}

// applyFaults counts the call, delays it, and fails it if the store is down. It reports whether the call failed.
func (s *Store) applyFaults(w http.ResponseWriter, count func(*Counts)) bool {
	s.mu.Lock()
	count(&s.counts)
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
	return faults.Down
}

func (s *Store) handleGet(r *http.Request) (int, any) {
	entry, ok := s.get(r.URL.Query().Get("key"))
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, entry
}

func (s *Store) handleList(r *http.Request) (int, any) {
	changes, _ := s.changesAfter(r.URL.Query().Get("prefix"), 0)
	return http.StatusOK, changes
}

// leasePollInterval is how often a waiting watch checks for expired leases.
const leasePollInterval = 100 * time.Millisecond

func (s *Store) handleWatch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	deadline := time.Now().Add(wait)
	for {
		changes, changed := s.changesAfter(query.Get("prefix"), after)
		restored := changes.Revision < after
		if len(changes.Entries) > 0 || restored || !time.Now().Before(deadline) {
			return http.StatusOK, changes
		}
		select {
		case <-changed:
		case <-time.After(leasePollInterval):
		case <-r.Context().Done():
			return http.StatusOK, changes
		}
	}
}

func (s *Store) handleSwap(r *http.Request) (int, any) {
	var w platform.Swap
	if json.NewDecoder(r.Body).Decode(&w) != nil {
		return http.StatusBadRequest, nil
	}
	if len(w.Value) > maxValueSize {
		return http.StatusRequestEntityTooLarge, nil
	}
	held := s.awaitHold(w.Key)
	entry, ok := s.swap(w, held)
	if !ok {
		return http.StatusConflict, nil
	}
	return http.StatusOK, entry
}

// maxValueSize is the size limit of a value in bytes.
const maxValueSize = 1 << 20

func (s *Store) handleGrant(r *http.Request) (int, any) {
	var lease platform.Lease
	if json.NewDecoder(r.Body).Decode(&lease) != nil {
		return http.StatusBadRequest, nil
	}
	return http.StatusOK, s.grant(lease.TTL)
}

func (s *Store) handleRenew(r *http.Request) (int, any) {
	var lease platform.Lease
	if json.NewDecoder(r.Body).Decode(&lease) != nil {
		return http.StatusBadRequest, nil
	}
	if !s.renew(lease) {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, lease
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func writeReply(w http.ResponseWriter, status int, body any) {
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	_ = json.NewEncoder(w).Encode(body)
}
