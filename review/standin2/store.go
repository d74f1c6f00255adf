package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreyhoist/comfreyhoist/internal/control/store"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/kv"
)

// item is a key and its value in a response of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// storeHandler serves the project's simulated store with the calls of the platform's store that nodes make.
func storeHandler(k *kv.Store) http.Handler {
	s := k.ForNode("")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", func(w http.ResponseWriter, r *http.Request) {
		found, err := s.Get(r.Context(), r.URL.Query().Get("key"))
		respond(w, err, item{Key: found.Key, Value: found.Value, Revision: found.Revision, Lease: found.Lease})
	})
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) {
		snapshot, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
		items := []item{}
		for _, i := range snapshot.Items {
			items = append(items, item{Key: i.Key, Value: i.Value, Revision: i.Revision, Lease: i.Lease})
		}
		respond(w, err, map[string]any{"items": items, "truncated": false, "store-revision": snapshot.Revision})
	})
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // nodes always send numbers
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
		changes, err := s.Watch(r.Context(), r.URL.Query().Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		events := []item{}
		for _, e := range changes.Events {
			events = append(events, item{Key: e.Key, Value: e.Value, Revision: e.Revision, Lease: e.Lease, Tombstone: e.Deleted})
		}
		respond(w, err, map[string]any{"events": events, "store-revision": changes.Revision})
	})
	mux.HandleFunc("POST /kv-txn", func(w http.ResponseWriter, r *http.Request) { transact(w, r, s) })
	mux.HandleFunc("POST /kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var m struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&m) // a body that can't be read gives a TTL of 0
		ttl, err := time.ParseDuration(m.TTL)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lease, err := s.Grant(r.Context(), ttl)
		respond(w, err, map[string]any{"lease": lease, "ttl_time": m.TTL})
	})
	mux.HandleFunc("POST /kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64) // no lease has the number 0
		respond(w, s.Renew(r.Context(), id), map[string]any{})
	})
	return mux
}

// transact applies a transaction with one expectation and one put, the only one that nodes make.
func transact(w http.ResponseWriter, r *http.Request, s store.Store) {
	var m struct {
		Expect []item `json:"expect"`
		Puts   []item `json:"puts"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil || len(m.Expect) != 1 || len(m.Puts) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	put := m.Puts[0]
	revision, err := s.Put(r.Context(), store.Write{Key: put.Key, Value: put.Value, Lease: put.Lease, Expected: m.Expect[0].Revision})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": []item{{Key: put.Key, Revision: conflict.Revision}}})
		return
	}
	respond(w, err, map[string]any{"revision": revision})
}

// respond writes the value, or the status of the error.
func respond(w http.ResponseWriter, err error, value any) {
	switch {
	case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrNoLease):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, store.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write([]byte(`{"items":[]}`))
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value) // an error means that the node has gone
	}
}
